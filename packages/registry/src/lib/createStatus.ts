import type { EvacuationState } from './EvacuationState';
import type { Status } from './MeshMessage';
import type { MeshOptions } from './MeshOptions';
import type { StoredConfiguration } from './RegistryMachine';

/** What an instance knows apart from its replica. */
interface StatusParts {
  readonly configuration: StoredConfiguration | undefined;
  readonly members: readonly string[];
  /** Number of instances as last counted by the leader. */
  readonly instances: number;
  readonly holdsOrigins: boolean;
  readonly evacuations: EvacuationState;
  readonly isLeaving: boolean;
}

/** The status of an instance, which it sends to all instances that have dialled it. @internal */
export function createStatus(
  { registry, clock }: Pick<MeshOptions, 'registry' | 'clock'>,
  { configuration, members, instances, holdsOrigins, evacuations, isLeaving }: StatusParts,
): Status {
  const isLeader = registry?.isLeader ?? false;
  return {
    type: 'status',
    version: configuration?.version ?? -1,
    bytes: configuration?.body.byteLength,
    isLeader,
    term: registry?.term ?? 0,
    members,
    instances: isLeader ? instances : 0,
    closedWindow: registry?.stateMachine.lastClosedWindow ?? -1,
    timeMs: isLeader ? clock.now() : 0,
    holdsOrigins,
    evacuations,
    isLeaving: isLeaving || undefined,
  };
}
