import { assert } from '@berylwood/base';
import type { QueuedAttempt } from '../Job';
import type { QueueItem } from '../queue/FairQueue';

/**
 * Phase of an attempt: `waiting` has not run, `running` holds a slot, `stopping` holds a slot until
 * its preemption is confirmed, `suspended` was preempted and waits to be resumed, `gone` has left the
 * queue.
 * @internal
 */
export type AttemptPhase = 'waiting' | 'running' | 'stopping' | 'suspended' | 'gone';

/** An attempt in a sidecar's queue, with its phase and progress. @internal */
export class AttemptItem implements QueueItem {
  readonly attempt: QueuedAttempt;

  readonly share: number;

  phase: AttemptPhase = 'waiting';

  preemptions = 0;

  answerTokens = 0;

  /** Work charged to the workspace so far, in tokens. */
  charged = 0;

  /** Time at which the attempt last started to wait, in milliseconds. */
  queuedAt: number;

  /** True if started for its class's guaranteed minimum share; it is then never preempted. */
  isGuaranteed = false;

  constructor(attempt: QueuedAttempt, share: number, now: number) {
    this.attempt = attempt;
    this.share = share;
    this.queuedAt = now;
  }

  get workspace(): QueuedAttempt['workspace'] {
    return this.attempt.workspace;
  }

  get tier(): number {
    return this.attempt.tier;
  }

  get work(): number {
    return Math.max(1, this.attempt.estimatedTokens);
  }

  get startBy(): number {
    return this.attempt.deadlineAt;
  }

  get isWaiting(): boolean {
    return this.phase === 'waiting';
  }

  get holdsSlot(): boolean {
    return this.phase === 'running' || this.phase === 'stopping';
  }

  /** Work done so far, in tokens; the whole estimate if the prompt's length is unknown. */
  get doneTokens(): number {
    const { promptTokens } = this.attempt;
    return promptTokens === undefined ? this.work : promptTokens + this.answerTokens;
  }

  /** Whether the attempt may be preempted for work of a higher tier. */
  isPreemptable(maxPreemptions: number): boolean {
    if (this.phase !== 'running' || this.isGuaranteed) return false;
    return this.attempt.isPreemptable !== false && this.preemptions < maxPreemptions;
  }

  /** Enters a phase. Asserts that the attempt has not left the queue. */
  enter(phase: AttemptPhase): void {
    assert(this.phase !== 'gone', 'an attempt that has left the queue cannot change its phase');
    this.phase = phase;
  }
}
