import type { AttemptId, Configuration, Load } from '@berylwood/schema';
import type { Code } from '@berylwood/base';
import type { QueuedAttempt } from '../Job';

/** An action that a queue requests from its sidecar. @public */
export type LocalDecision =
  | {
      readonly type: 'start';
      readonly attempt: AttemptId;
      /** True if the attempt was preempted before and its stream must be resumed. */
      readonly isResumed: boolean;
    }
  | {
      /** The attempt was never sent to the endpoint and never will be, so it counts as "not run". */
      readonly type: 'refuse';
      readonly attempt: AttemptId;
      readonly code: Code;
      readonly retryAfterMs: number;
    }
  | {
      /** Stop the running attempt so that it can be resumed, then call `preempted`. */
      readonly type: 'preempt';
      readonly attempt: AttemptId;
    };

/** The part of a load report that the queue provides. @public */
export type QueueLoad = Pick<
  Load,
  'slots' | 'running' | 'waiting' | 'waitingTier' | 'runningTier' | 'credits' | 'generation'
>;

/**
 * Decides for a sidecar which waiting attempts get the endpoint's free slots, which are rejected and
 * which running ones are preempted. It performs no I/O and reads no clock.
 * @public
 */
export abstract class LocalQueue {
  /** Applies a new configuration. */
  abstract configure(configuration: Configuration): void;

  /** Queues an attempt that has arrived. */
  abstract offer(attempt: QueuedAttempt, now: number): void;

  /** Removes a waiting attempt. Returns true if it has never run and now never will. */
  abstract withdraw(attempt: AttemptId, now: number): boolean;

  /** Records more of a running attempt's response; `answerTokens` is the total so far. */
  abstract progressed(attempt: AttemptId, answerTokens: number, now: number): void;

  /** Records that a running attempt has ended, for any reason. */
  abstract ended(attempt: AttemptId, now: number): void;

  /** Confirms that a running attempt was preempted. It waits until it is resumed. */
  abstract preempted(attempt: AttemptId, now: number): void;

  /** Returns the decisions due now. */
  abstract decide(now: number): LocalDecision[];

  /** Time at which `decide` is next due without a new event; undefined if only events matter. */
  abstract nextAt(now: number): number | undefined;

  /** Returns the load for the next report. Each call increments its generation. */
  abstract load(): QueueLoad;
}

/** Options of a local queue. @public */
export interface LocalQueueOptions {
  /** Maximum number of attempts running on the endpoint at a time. */
  readonly slots: number;
  /** Maximum number of waiting attempts, without suspended ones. */
  readonly capacity: number;
  /** Attempts that may wait while all slots are in use, so that no slot is idle. Default 0. */
  readonly lookahead?: number;
  /** Maximum number of preemptions of one attempt. Default 3. */
  readonly maxPreemptions?: number;
}
