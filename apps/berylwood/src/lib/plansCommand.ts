import { formatProblem, loadConfiguration } from '@berylwood/schema';
import { Command } from 'commander';
import { ExitCode } from './ExitCode';
import { CommandError } from './CommandError';
import {
  addChangeOptions,
  addOperatorOptions,
  callControl,
  resolveChangeId,
  print,
  type OperatorOptions,
} from './operatorOptions';
import { waitInForce } from './waitInForce';

interface ApplyOptions extends OperatorOptions {
  readonly expect?: string;
  readonly operator: string;
}

async function applyPlans(
  plansFile: string,
  customersFile: string,
  options: ApplyOptions,
): Promise<void> {
  const loaded = loadConfiguration(plansFile, customersFile);
  if (loaded.isErr()) {
    throw new CommandError(ExitCode.InvalidFile, loaded.error.map(formatProblem).join('\n'));
  }
  if (options.change && !options.expect) {
    const message = 'a resend with --change requires the --expect of the first send';
    throw new CommandError(ExitCode.Usage, message);
  }
  const expected = options.expect
    ? Number(options.expect)
    : (await callControl(options, (client) => client.position.query())).revision;
  const change = await resolveChangeId(options);
  const { operator } = options;
  const { index, revision } = await callControl(options, (client) =>
    client.applyPlans.mutate({ change, operator, expected, configuration: loaded.value }),
  );
  await waitInForce(options, index);
  print(options, { change, index, revision, inForce: true }, `revision ${revision} is in force`);
}

/** Creates the command `plans apply|show|history`. @internal */
export function plansCommand(): Command {
  const plans = new Command('plans').description('what each plan may use, and customers’ plans');
  addChangeOptions(plans.command('apply <plans> <customers>'))
    .description('put both lists in force')
    .option('--expect <revision>', 'revision that the change was made against')
    .option('--operator <name>', 'who makes the change', process.env.USER ?? 'operator')
    .action(applyPlans);
  addOperatorOptions(plans.command('show'))
    .description('the lists in force')
    .action(async (options: OperatorOptions) => {
      const shown = await callControl(options, (client) => client.showPlans.query());
      print(options, shown, JSON.stringify(shown, undefined, 2));
    });
  addOperatorOptions(plans.command('history'))
    .description('who put which revision in force, and when')
    .action(async (options: OperatorOptions) => {
      const revisions = await callControl(options, (client) => client.history.query());
      const lines = revisions.map(
        ({ revision, at, operator, change }) =>
          `${revision} ${new Date(at).toISOString()} ${operator} ${change}`,
      );
      print(options, revisions, lines.join('\n'));
    });
  return plans;
}
