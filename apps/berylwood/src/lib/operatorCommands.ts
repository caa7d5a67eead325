import { Command } from 'commander';
import { backupCommands } from './backupCommands';
import { keysCommand } from './keysCommand';
import { addOperatorOptions, callControl, print, type OperatorOptions } from './operatorOptions';
import { ordersCommand } from './ordersCommand';
import { plansCommand } from './plansCommand';
import { replicasCommand } from './replicasCommand';
import { usageCommand } from './usageCommand';

function statusCommand(): Command {
  return addOperatorOptions(new Command('status'))
    .description('state of the group, nodes, endpoints')
    .action(async (options: OperatorOptions) => {
      const report = await callControl(options, async (client) => {
        // `position` succeeds only on the leader, so that no replica with stale state returns the status.
        await client.position.query();
        return client.status.query();
      });
      print(options, report, JSON.stringify(report, undefined, 2));
    });
}

/** Creates all commands that call the control group. @internal */
export function operatorCommands(): Command[] {
  return [
    plansCommand(),
    keysCommand(),
    statusCommand(),
    usageCommand(),
    ordersCommand(),
    replicasCommand(),
    ...backupCommands(),
  ];
}
