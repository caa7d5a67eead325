import { readFileSync, writeFileSync } from 'node:fs';
import { SystemTimer } from '@berylwood/base';
import {
  formatProblem,
  loadConfiguration,
  readToml,
  type Configuration,
  type Problem,
} from '@berylwood/schema';
import {
  LoadRun,
  formatReport,
  loadScenarioSchema,
  renderPage,
  summarize,
  type Key,
  type LoadScenario,
  type Progress,
} from '@berylwood/testing';
import { Command } from 'commander';
import type { Result } from 'neverthrow';
import { z } from 'zod';
import { ExitCode } from './ExitCode';
import { CommandError } from './CommandError';

/** Keys by workspace, each in the format that `keys give --json` prints. */
const keysSchema = z.record(z.string(), z.object({ key: z.string(), secret: z.string() }));

interface LoadOptions {
  readonly json?: boolean;
  readonly page?: string;
  readonly seed?: string;
}

function unwrap<T>(result: Result<T, Problem[]>): T {
  if (result.isOk()) return result.value;
  throw new CommandError(ExitCode.InvalidFile, result.error.map(formatProblem).join('\n'));
}

function readKeys(file: string): Map<string, Key> {
  try {
    return new Map(Object.entries(keysSchema.parse(JSON.parse(readFileSync(file, 'utf8')))));
  } catch (error) {
    throw new CommandError(
      ExitCode.InvalidFile,
      `${file}: cannot read the keys (${(error as Error).message})`,
    );
  }
}

/** Checks that the workspaces of the scenario are customers with a key, and that its classes exist. */
function checkNames(
  file: string,
  { workspaces, classes }: LoadScenario,
  configuration: Configuration,
  keys: ReadonlyMap<string, Key>,
): void {
  const problems = [
    ...workspaces
      .filter(({ name }) => !configuration.customers[name])
      .map(({ name }) => `${file}: workspace "${name}" is not in the list of customers`),
    ...workspaces
      .filter(({ name }) => !keys.has(name))
      .map(({ name }) => `${file}: workspace "${name}" has no key`),
    ...Object.keys(classes)
      .filter((name) => !configuration.classes[name])
      .map((name) => `${file}: class "${name}" is not in the list of plans`),
  ];
  if (problems.length > 0) throw new CommandError(ExitCode.InvalidFile, problems.join('\n'));
}

function printProgress({ elapsedS, sent, ended, refused, total }: Progress): void {
  const line = `${elapsedS} s: ${sent} of ${total} sent, ${ended} ended, ${refused} refused`;
  process.stderr.write(`${line}\n`);
}

async function runLoad(file: string, options: LoadOptions): Promise<void> {
  const parsed = unwrap(readToml(loadScenarioSchema, file));
  const seed = options.seed === undefined ? parsed.load.seed : Number(options.seed);
  const scenario = { ...parsed, load: { ...parsed.load, seed } };
  const { plans, customers } = scenario.load;
  const configuration = unwrap(loadConfiguration(plans, customers));
  const keys = readKeys(scenario.load.keys);
  checkNames(file, scenario, configuration, keys);
  const timer = new SystemTimer();
  const onProgress = printProgress;
  const run = new LoadRun({ timer, scenario, configuration, keys, onProgress });
  const report = summarize(await run.run());
  if (options.page) writeFileSync(options.page, renderPage(report));
  process.stdout.write(`${options.json ? JSON.stringify(report) : formatReport(report)}\n`);
}

/** Creates the command `load`, which sends load to a deployment and reports the results. @internal */
export function loadCommand(): Command {
  return new Command('load')
    .description('send the requests of a scenario to the entries and report how they fared')
    .argument('<scenario>', 'scenario in TOML')
    .option('--json', 'print the report as JSON')
    .option('--page <file>', 'write the report with plots as an HTML page')
    .option('--seed <number>', 'seed in place of the one in the scenario')
    .action((file: string, options: LoadOptions) => runLoad(file, options));
}
