import type { AttemptId, Configuration, Load } from '@berylwood/schema';
import type { Code } from '@berylwood/base';
import type { QueuedAttempt } from '../Job';

/** What a sidecar's queue wants done. @public */
export type LocalDecision =
  | {
      readonly type: 'start';
      readonly attempt: AttemptId;
      /** True when the attempt was preempted before and its stream is to be resumed. */
      readonly isResumed: boolean;
    }
  | {
      /** The attempt was not handed over and never will be: "not run" is true of it. */
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

/** The part of a load report that the queue knows. @public */
export type QueueLoad = Pick<
  Load,
  'slots' | 'running' | 'waiting' | 'waitingTier' | 'runningTier' | 'credits' | 'generation'
>;

/**
 * Decides in a sidecar which waiting attempt goes next into the endpoint's slots, which is refused
 * and which running one is preempted. It does no I/O and reads no clock.
 * @public
 */
export abstract class LocalQueue {
  /** Takes in a new configuration. */
  abstract configure(configuration: Configuration): void;

  /** An attempt has arrived. */
  abstract offer(attempt: QueuedAttempt, now: number): void;

  /** Takes a waiting attempt out; true when it was waiting, so that it never runs. */
  abstract withdraw(attempt: AttemptId, now: number): boolean;

  /** More of the answer of a running attempt has arrived, in tokens so far. */
  abstract progressed(attempt: AttemptId, answerTokens: number, now: number): void;

  /** A running attempt has ended, in whatever way. */
  abstract ended(attempt: AttemptId, now: number): void;

  /** A running attempt has been stopped as decided; it waits again until it is resumed. */
  abstract preempted(attempt: AttemptId, now: number): void;

  /** Decisions due now. */
  abstract decide(now: number): LocalDecision[];

  /** Time at which to ask again without a new event; undefined when only events matter. */
  abstract nextAt(now: number): number | undefined;

  /** Load for the next report; each call has a new generation. */
  abstract load(): QueueLoad;
}

/** Options of a local queue. @public */
export interface LocalQueueOptions {
  /** Attempts handed to the endpoint at a time. */
  readonly slots: number;
  /** Attempts held in the queue. */
  readonly capacity: number;
  /** Attempts that may wait here while all slots are taken, so that none stands idle. Default 1. */
  readonly lookahead?: number;
  /** How often one attempt may be preempted. Default 3. */
  readonly maxPreemptions?: number;
}
