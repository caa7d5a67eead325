import type { Failure } from '@berylwood/base';
import type { Identity } from './ids';
import type { Membership } from './Membership';
import type { LogStatus } from './ReplicatedLog';

/** Status of a replica, in addition to the status of its log. @public */
export interface ReplicaStatus extends LogStatus {
  readonly identity: Identity;
  /** Latest membership in the log, committed or not. */
  readonly membership: Membership;
  /** Committed membership; a replacement counts as joining until its joint configuration ends. */
  readonly settledMembership: Membership;
  /** Failure that stopped the replica, if any. */
  readonly failure: Failure | undefined;
  readonly lastIndex: number;
  readonly snapshotIndex: number;
  /** Number of syncs of log entries since the start. */
  readonly syncs: number;
}
