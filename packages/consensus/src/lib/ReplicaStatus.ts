import type { Failure } from '@berylwood/base';
import type { Identity } from './ids';
import type { Membership } from './Membership';
import type { LogStatus } from './ReplicatedLog';

/** What an embedder may observe of a replica beside the status of its log. @public */
export interface ReplicaStatus extends LogStatus {
  readonly identity: Identity;
  /** The latest membership in the log, committed or not. */
  readonly membership: Membership;
  /** The committed membership; a replacement counts as joining until it is settled. */
  readonly settledMembership: Membership;
  /** Why the replica has stopped, if it has. */
  readonly failure: Failure | undefined;
  readonly lastIndex: number;
  readonly snapshotIndex: number;
  /** Syncs of entries since the start. */
  readonly syncs: number;
}
