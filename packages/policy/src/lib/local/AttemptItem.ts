import { assert } from '@berylwood/base';
import type { QueuedAttempt } from '../Job';
import type { QueueItem } from '../queue/FairQueue';

/**
 * Where an attempt is: `waiting` has not run, `running` holds a slot, `stopping` holds one until
 * its preemption is confirmed, `suspended` has run and waits to be resumed.
 * @internal
 */
export type AttemptPhase = 'waiting' | 'running' | 'stopping' | 'suspended' | 'gone';

/** An attempt in a sidecar's queue with its progress. @internal */
export class AttemptItem implements QueueItem {
  readonly attempt: QueuedAttempt;

  readonly share: number;

  phase: AttemptPhase = 'waiting';

  preemptions = 0;

  answerTokens = 0;

  /** Work charged to the workspace so far, in tokens. */
  charged = 0;

  /** Time of the latest arrival in the queue, in milliseconds. */
  queuedAt: number;

  /** Started on its class's guaranteed minimum: not preempted. */
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

  /** Work done so far, in tokens, as far as it is known. */
  get doneTokens(): number {
    const { promptTokens } = this.attempt;
    return promptTokens === undefined ? this.work : promptTokens + this.answerTokens;
  }

  /** Whether it may be stopped for work of a higher tier. */
  isPreemptable(maxPreemptions: number): boolean {
    if (this.phase !== 'running' || this.isGuaranteed) return false;
    return this.attempt.isPreemptable !== false && this.preemptions < maxPreemptions;
  }

  /** Moves to the next phase. */
  enter(phase: AttemptPhase): void {
    assert(this.phase !== 'gone', 'an attempt that has left the queue does not change');
    this.phase = phase;
  }
}
