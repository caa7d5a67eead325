import './codes';
import { Command, Option } from 'commander';
import { checkFile } from './checkFile';
import { ExitCode } from './ExitCode';
import { CommandError } from './CommandError';
import { createStandIn } from './createStandIn';
import { loadCommand } from './loadCommand';
import { operatorCommands } from './operatorCommands';
import { runCommand } from './runCommand';
import { timelineCommand } from './timelineCommand';

/** Version of the build, inserted by the bundler. */
const VERSION = process.env.BERYLWOOD_VERSION ?? 'development';

interface StandInOptions {
  readonly listen: string;
  readonly name: string;
  readonly models: string;
  readonly slots: string;
  readonly prefillRate: string;
  readonly decodeRate: string;
}

function checkCommand(): Command {
  return new Command('check')
    .description('check settings files and operator lists')
    .argument('<files...>')
    .action((files: string[]) => {
      const problems = files.flatMap(checkFile);
      if (problems.length > 0) throw new CommandError(ExitCode.InvalidFile, problems.join('\n'));
      process.stdout.write(files.map((file) => `${file}: valid\n`).join(''));
    });
}

function standInCommand(): Command {
  return new Command('stand-in')
    .description('run a stand-in of an engine, a plain service or the platform')
    .addArgument(new Command().createArgument('<kind>').choices(['engine', 'service', 'platform']))
    .option('--listen <address>', 'IP:PORT', '127.0.0.1:0')
    .option('--name <name>', 'name in answers', 'stand-in')
    .option('--models <names>', 'models, separated by commas', '')
    .addOption(new Option('--slots <count>', 'streams at a time').default('8'))
    .addOption(new Option('--prefill-rate <tokens>', 'prompt tokens a second').default('8000'))
    .addOption(new Option('--decode-rate <tokens>', 'tokens a second of a stream').default('40'))
    .action(async (kind: 'engine' | 'service' | 'platform', options: StandInOptions) => {
      const standIn = createStandIn({
        kind,
        listen: options.listen,
        name: options.name,
        models: options.models.split(',').filter(Boolean),
        slots: Number(options.slots),
        prefillRate: Number(options.prefillRate),
        decodeRate: Number(options.decodeRate),
      });
      await standIn.start();
      process.stdout.write(`${standIn.address}\n`);
    });
}

/** Creates the command line with all its commands. @internal */
export function createProgram(): Command {
  const program = new Command('berylwood')
    .description('Router for language-model traffic with service levels and priorities')
    .version(VERSION);
  const commands = [
    runCommand(),
    checkCommand(),
    standInCommand(),
    timelineCommand(),
    loadCommand(),
    ...operatorCommands(),
  ];
  for (const command of commands) program.addCommand(command);
  return program;
}
