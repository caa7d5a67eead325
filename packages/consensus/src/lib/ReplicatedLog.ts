import type { Failure } from '@berylwood/base';
import type { Result } from 'neverthrow';

/** A command that has been committed and applied. @public */
export interface Applied {
  readonly index: number;
  readonly result: Uint8Array;
}

/** Status of the log on one replica. @public */
export interface LogStatus {
  readonly replica: string;
  readonly role: 'follower' | 'candidate' | 'leader' | 'learner';
  readonly term: number;
  readonly leader: string | undefined;
  readonly commitIndex: number;
  readonly appliedIndex: number;
}

/**
 * The embedder's interface to the log. Commands are committed by a quorum and applied in the same
 * order to the state machine of each replica.
 * @public
 */
export abstract class ReplicatedLog {
  /** Called on each replica after each applied command, in log order. */
  onApplied: (index: number, command: Uint8Array, result: Uint8Array) => void = () => {};

  /** Called when this replica starts or stops leading. */
  onRole: (status: LogStatus) => void = () => {};

  abstract get status(): LogStatus;

  /**
   * Commits and applies a command. A failure with `notRun: true` proves that it was not and will
   * not be applied. With `'unknown'` it may still be applied: resend it under the same change id.
   */
  abstract propose(command: Uint8Array): Promise<Result<Applied, Failure>>;

  /**
   * Resolves with the commit index at the time of the call, once this replica has applied it. Fails
   * on a replica that is not the leader or does not hold its lease.
   */
  abstract barrier(): Promise<Result<number, Failure>>;

  /**
   * Whether this replica holds the leader lease now, by both the monotonic and the wall clock. Read
   * it in the same tick as the effect that it guards.
   */
  abstract get holdsLease(): boolean;

  /** Monotonic time in milliseconds at which the lease ends; 0 without a lease. */
  abstract get leaseEndsAt(): number;

  /** Transfers leadership to a voter that replies; resolves on success, failure or time-out. */
  abstract transferLeadership(): Promise<void>;

  abstract close(): Promise<void>;
}
