import './lib/sighupHandler';
import { CommandError } from './lib/CommandError';
import { createRunProgram } from './lib/createRunProgram';
import { ExitCode } from './lib/ExitCode';

/** Parses the command line. `run` starts faster without loading the code of the other commands. */
async function parse(): Promise<void> {
  const isRun = process.argv[2] === 'run';
  const program = isRun
    ? createRunProgram()
    : (await import('./lib/createProgram')).createProgram();
  await program.parseAsync(process.argv);
}

parse().catch((error: unknown) => {
  const isExpected = error instanceof CommandError;
  process.stderr.write(`${isExpected ? error.message : String(error)}\n`);
  process.exit(isExpected ? error.exitCode : ExitCode.Fault);
});
