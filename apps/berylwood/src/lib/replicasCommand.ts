import { Command } from 'commander';
import { addOperatorOptions, callControl, print, type OperatorOptions } from './operatorOptions';

interface Membership {
  readonly members: readonly {
    replica: string;
    incarnation: string;
    kind: string;
    address: string;
  }[];
  readonly admitted: readonly { replica: string; voter: boolean }[];
}

function show(options: OperatorOptions, membership: Membership): void {
  const members = membership.members.map(({ replica, kind, address, incarnation }) =>
    [replica, kind, address, incarnation].join(' '),
  );
  const admitted = membership.admitted.map(({ replica }) => `${replica} admitted`);
  print(options, membership, [...members, ...admitted].join('\n'));
}

/** Creates the command `replicas add|remove|list`. @internal */
export function replicasCommand(): Command {
  const replicas = new Command('replicas').description('members of the control group');
  addOperatorOptions(replicas.command('list', { isDefault: true }))
    .description('voters, learners and admitted replicas')
    .action(async (options: OperatorOptions) =>
      show(options, await callControl(options, (client) => client.replicas.query())),
    );
  addOperatorOptions(replicas.command('add <replica>'))
    .description('admit a replica, which becomes a voter once it has caught up')
    .action(async (replica: string, options: OperatorOptions) =>
      show(options, await callControl(options, (client) => client.addReplica.mutate({ replica }))),
    );
  addOperatorOptions(replicas.command('remove <replica>'))
    .description('remove a replica from the group')
    .action(async (replica: string, options: OperatorOptions) =>
      show(
        options,
        await callControl(options, (client) => client.removeReplica.mutate({ replica })),
      ),
    );
  return replicas;
}
