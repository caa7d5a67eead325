import { requestCodes, type AttemptId } from '@berylwood/schema';
import type { QueuedAttempt } from '../Job';
import {
  LocalQueue,
  type LocalDecision,
  type LocalQueueOptions,
  type QueueLoad,
} from './LocalQueue';

const RETRY_AFTER_MS = 1_000;

/** Baseline: first in, first out. Rejects the newest when full and never preempts. @public */
export class FifoLocalQueue extends LocalQueue {
  readonly #waiting = new Map<AttemptId, QueuedAttempt>();

  readonly #running = new Map<AttemptId, QueuedAttempt>();

  readonly #options: LocalQueueOptions;

  #generation = 0;

  constructor(options: LocalQueueOptions) {
    super();
    this.#options = options;
  }

  override configure(): void {
    // Plans are not used.
  }

  override offer(attempt: QueuedAttempt): void {
    this.#waiting.set(attempt.attempt, attempt);
  }

  override withdraw(attempt: AttemptId): boolean {
    return this.#waiting.delete(attempt);
  }

  override progressed(): void {
    // Progress is not used.
  }

  override ended(attempt: AttemptId): void {
    this.#running.delete(attempt);
  }

  override preempted(): void {
    // This queue never preempts.
  }

  override decide(now: number): LocalDecision[] {
    const decisions: LocalDecision[] = [];
    for (const [attempt, { deadlineAt }] of this.#waiting) {
      if (now >= deadlineAt) decisions.push(this.#reject(attempt));
    }
    for (const [attempt, queued] of this.#waiting) {
      if (this.#running.size >= this.#options.slots) break;
      this.#waiting.delete(attempt);
      this.#running.set(attempt, queued);
      decisions.push({ type: 'start', attempt, isResumed: false });
    }
    const excess = [...this.#waiting.keys()].slice(this.#options.capacity);
    return [...decisions, ...excess.map((attempt) => this.#reject(attempt))];
  }

  override nextAt(): number | undefined {
    const deadlines = [...this.#waiting.values()].map(({ deadlineAt }) => deadlineAt);
    return deadlines.length > 0 ? Math.min(...deadlines) : undefined;
  }

  override load(): QueueLoad {
    this.#generation += 1;
    const { slots, lookahead = 0 } = this.#options;
    const running = this.#running.size;
    const waiting = this.#waiting.size;
    const runningTiers = [...this.#running.values()].map(({ tier }) => tier);
    const waitingTiers = [...this.#waiting.values()].map(({ tier }) => tier);
    return {
      slots,
      running,
      waiting,
      waitingTier: waiting > 0 ? Math.min(...waitingTiers) : 0,
      runningTier: running > 0 ? Math.max(...runningTiers) : 0,
      credits: Math.max(0, slots + lookahead - running - waiting),
      generation: this.#generation,
    };
  }

  #reject(attempt: AttemptId): LocalDecision {
    this.#waiting.delete(attempt);
    return { type: 'refuse', attempt, code: requestCodes.overloaded, retryAfterMs: RETRY_AFTER_MS };
  }
}
