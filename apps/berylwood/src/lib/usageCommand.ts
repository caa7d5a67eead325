import { Command } from 'commander';
import { addOperatorOptions, callControl, print, type OperatorOptions } from './operatorOptions';

/** Creates the command `usage open|windows`. @internal */
export function usageCommand(): Command {
  const usage = new Command('usage').description('usage of the workspaces');
  addOperatorOptions(usage.command('open', { isDefault: true }))
    .description('usage of the windows that are open')
    .action(async (options: OperatorOptions) => {
      const lines = await callControl(options, (client) => client.usage.query());
      print(options, lines, JSON.stringify(lines, undefined, 2));
    });
  addOperatorOptions(usage.command('windows'))
    .description('frozen and reported windows')
    .action(async (options: OperatorOptions) => {
      const windows = await callControl(options, (client) => client.windows.query());
      const lines = windows.map(({ window, state, startsAt, endsAt }) =>
        [window, state, new Date(startsAt).toISOString(), new Date(endsAt).toISOString()].join(' '),
      );
      print(options, windows, lines.join('\n'));
    });
  return usage;
}
