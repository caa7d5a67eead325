import type { Failure } from '@berylwood/base';
import type { Result } from 'neverthrow';

/** A command that has been committed and applied. @public */
export interface Applied {
  readonly index: number;
  readonly result: Uint8Array;
}

/** What an embedder may observe of a replica. @public */
export interface LogStatus {
  readonly replica: string;
  readonly role: 'follower' | 'candidate' | 'leader' | 'learner';
  readonly term: number;
  readonly leader: string | undefined;
  readonly commitIndex: number;
  readonly appliedIndex: number;
}

/**
 * The log as its embedder sees it. Commands are committed by a quorum and applied in one order to
 * the state machine of each replica.
 * @public
 */
export abstract class ReplicatedLog {
  /** Called after each applied command, in order, on each replica. */
  onApplied: (index: number, command: Uint8Array, result: Uint8Array) => void = () => {};

  /** Called when this replica starts or ceases to lead. */
  onRole: (status: LogStatus) => void = () => {};

  abstract get status(): LogStatus;

  /**
   * Commits a command. A failure with `notRun: true` proves that it was not and will not be
   * applied; with `'unknown'` it may yet be: resend it under the same change id.
   */
  abstract propose(command: Uint8Array): Promise<Result<Applied, Failure>>;

  /**
   * Resolves once this replica has applied everything that was committed at the time of the call.
   * Answered by the leader under its lease; fails elsewhere.
   */
  abstract barrier(): Promise<Result<number, Failure>>;

  /**
   * Whether this replica holds the leader lease now. To be asked in the same tick as the effect
   * that it guards; both the monotonic and the wall clock are checked.
   */
  abstract get holdsLease(): boolean;

  /** Monotonic time at which the lease ends, in milliseconds; 0 without a lease. */
  abstract get leaseEndsAt(): number;

  /** Hands leadership to the most advanced voter; resolves when another leads or none could. */
  abstract transferLeadership(): Promise<void>;

  abstract close(): Promise<void>;
}
