/** First events of responses of an endpoint: in time, late, and requests that failed. @public */
export interface RecoveryCounts {
  readonly inTime: number;
  readonly late: number;
  readonly failed: number;
}

/** Why a recovery ended. @public */
export type RecoveryEnd = 'slots' | 'demand' | 'failed' | 'time';

/** Requests in flight with which a recovery starts. */
const INITIAL_REQUESTS = 4;

/** Requests that each first event in time adds: with each answer, up to three times as many are in flight. */
const GROWTH = 2;

/**
 * Time after a reduction in which the window neither grows nor shrinks, in milliseconds. Views are up to half a
 * second old, so that the answers of that time belong to requests that were sent before.
 */
const SETTLE_MS = 500;

/** Time for which less than half of the window must be used until it is lifted, in milliseconds. */
const UNUSED_MS = 1000;

/** Longest recovery, in milliseconds: then ejections and the load alone decide. */
const MAX_MS = 30_000;

/**
 * Number of requests that all instances together may have in flight to an endpoint that has just started or
 * answers again. Load pattern: many instances see a recovered endpoint as the least loaded one at the same time,
 * and flood it before its first answer; or each leaves it idle until its own probe. The window grows with first
 * events in time, so that a fast endpoint reaches its share within a second, and a slow one is not flooded.
 * @public
 */
export class RecoveryWindow {
  readonly #startedAt: number;

  readonly #initial: number;

  #size: number;

  #settledAt = -Infinity;

  #usedAt: number;

  #end: RecoveryEnd | undefined;

  #hasAnswered = false;

  /** @param initial requests in flight at the start; 1 for the window of a single instance */
  constructor(now: number, initial = INITIAL_REQUESTS) {
    this.#startedAt = now;
    this.#usedAt = now;
    this.#initial = initial;
    this.#size = initial;
  }

  get size(): number {
    return this.#size;
  }

  /** Whether a first event has come in time. */
  get hasAnswered(): boolean {
    return this.#hasAnswered;
  }

  /** Why the recovery has ended; undefined while it lasts. */
  get end(): RecoveryEnd | undefined {
    return this.#end;
  }

  /** Applies what was observed since the last call. */
  observe({ inTime, late, failed }: RecoveryCounts, now: number): void {
    if (inTime > 0 && !this.#hasAnswered) this.#answered();
    if (this.#end !== undefined || now < this.#settledAt) return;
    if (failed > 0) {
      // A single instance that cannot reach the endpoint must not end the recovery for all.
      if (this.#size <= 1) this.#end = 'failed';
      this.#size = Math.max(1, Math.floor(this.#size / 2));
      this.#settledAt = now + SETTLE_MS;
    } else if (late > 0) {
      // Only held: in an overload of the whole pool, first events are late at every endpoint.
      this.#settledAt = now + SETTLE_MS;
    } else this.#size += inTime * GROWTH;
  }

  /** Failures before the first answer say nothing about the endpoint from then on. */
  #answered(): void {
    this.#hasAnswered = true;
    this.#size = Math.max(this.#size, this.#initial);
    this.#settledAt = -Infinity;
  }

  /** Ends the recovery if the window covers the slots of the endpoint, or twice what is asked for. */
  update(asked: number, slots: number, now: number): void {
    if (this.#end !== undefined) return;
    if (this.#size <= INITIAL_REQUESTS || asked > this.#size / 2) this.#usedAt = now;
    if (this.#size >= slots) this.#end = 'slots';
    else if (now - this.#usedAt >= UNUSED_MS) this.#end = 'demand';
    else if (now - this.#startedAt >= MAX_MS) this.#end = 'time';
  }
}
