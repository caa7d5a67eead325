import { createChangeId, formatProblem, loadConfiguration } from '@berylwood/schema';
import type { KeyId, ChangeId } from '@berylwood/schema';
import { Command } from 'commander';
import { askOperator } from './askOperator';
import { ExitCode } from './codes';
import { CommandError } from './CommandError';

const DEFAULT_CONTROL = '127.0.0.1:7071';
const WAIT_MS = 10_000;

interface CommonOptions {
  readonly control: string;
  readonly json?: boolean;
  readonly change?: ChangeId;
}

function addCommon(command: Command): Command {
  return command
    .option('--control <addresses>', 'operators’ addresses of the replicas', DEFAULT_CONTROL)
    .option('--json', 'print JSON');
}

function addChange(command: Command): Command {
  return addCommon(command).option(
    '--change <id>',
    'id of the change; resend a change with its id after a lost answer',
  );
}

function print(options: CommonOptions, value: unknown, text: string): void {
  process.stdout.write(options.json ? `${JSON.stringify(value)}\n` : `${text}\n`);
}

function addressesOf({ control }: CommonOptions): string[] {
  return control.split(',').map((address) => address.trim());
}

/** Waits until a change is in force everywhere, and fails when it is not in time. */
async function waitInForce(options: CommonOptions, index: number): Promise<void> {
  const report = await askOperator(addressesOf(options), (client) =>
    client.waitInForce.query({ index, timeoutMs: WAIT_MS }),
  );
  if (report.inForce) return;
  const message = `committed, but not yet in force on: ${report.pending.join(', ')}`;
  throw new CommandError(ExitCode.NotInForce, message);
}

async function applyPlans(
  plansFile: string,
  customersFile: string,
  options: CommonOptions & { expect?: string; operator: string },
): Promise<void> {
  const loaded = loadConfiguration(plansFile, customersFile);
  if (loaded.isErr()) {
    throw new CommandError(ExitCode.InvalidFile, loaded.error.map(formatProblem).join('\n'));
  }
  const addresses = addressesOf(options);
  const change = options.change ?? createChangeId();
  const expected = options.expect
    ? Number(options.expect)
    : (await askOperator(addresses, (client) => client.showPlans.query())).revision;
  const { operator } = options;
  const { index, outcome } = await askOperator(addresses, (client) =>
    client.applyPlans.mutate({ change, operator, expected, configuration: loaded.value }),
  );
  await waitInForce(options, index);
  const { revision } = outcome;
  print(options, { change, index, revision, inForce: true }, `revision ${revision} is in force`);
}

function plansCommand(): Command {
  const plans = new Command('plans').description('what each plan may use, and customers’ plans');
  addChange(plans.command('apply <plans> <customers>'))
    .description('put both lists in force')
    .option('--expect <revision>', 'revision that the change was made against')
    .option('--operator <name>', 'who makes the change', process.env.USER ?? 'operator')
    .action(applyPlans);
  addCommon(plans.command('show'))
    .description('the lists in force')
    .action(async (options: CommonOptions) => {
      const shown = await askOperator(addressesOf(options), (client) => client.showPlans.query());
      print(options, shown, JSON.stringify(shown, undefined, 2));
    });
  return plans;
}

function keysCommand(): Command {
  const keys = new Command('keys').description('keys of the workspaces');
  addChange(keys.command('give <workspace>'))
    .description('create a key and show it once')
    .action(async (workspace: string, options: CommonOptions) => {
      const change = options.change ?? createChangeId();
      const given = await askOperator(addressesOf(options), (client) =>
        client.giveKey.mutate({ change, workspace }),
      );
      await waitInForce(options, given.index);
      print(options, given, `${given.key} ${given.secret}`);
    });
  addChange(keys.command('withdraw <key>'))
    .description('withdraw a key by its id')
    .action(async (key: KeyId, options: CommonOptions) => {
      const change = options.change ?? createChangeId();
      const { index } = await askOperator(addressesOf(options), (client) =>
        client.withdrawKey.mutate({ change, key }),
      );
      await waitInForce(options, index);
      print(options, { change, index, inForce: true }, `${key} is withdrawn everywhere`);
    });
  addCommon(keys.command('list'))
    .description('keys in force, without their secrets')
    .action(async (options: CommonOptions) => {
      const listed = await askOperator(addressesOf(options), (client) => client.listKeys.query());
      const lines = listed.map(({ key, workspace }) => `${key} ${workspace}`);
      print(options, listed, lines.join('\n'));
    });
  return keys;
}

/** Commands that ask the control group. @internal */
export function operatorCommands(): Command[] {
  const status = addCommon(
    new Command('status').description('state of the group, nodes, endpoints'),
  );
  status.action(async (options: CommonOptions) => {
    const report = await askOperator(addressesOf(options), (client) => client.status.query());
    print(options, report, JSON.stringify(report, undefined, 2));
  });
  const usage = addCommon(new Command('usage').description('usage of the open window'));
  usage.action(async (options: CommonOptions) => {
    const lines = await askOperator(addressesOf(options), (client) => client.usage.query());
    print(options, lines, JSON.stringify(lines, undefined, 2));
  });
  return [plansCommand(), keysCommand(), status, usage];
}
