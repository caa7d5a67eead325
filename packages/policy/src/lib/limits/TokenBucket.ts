/**
 * Token bucket that may be overdrawn once: a request is admitted while the level is positive and
 * consumes its whole work, because the work of one request may exceed the capacity.
 * @internal
 */
export class TokenBucket {
  #rate: number;

  #capacity: number;

  #level: number;

  #filledAt: number;

  /**
   * @param rate tokens per second
   * @param capacity largest level, in tokens; the bucket starts full
   */
  constructor(rate: number, capacity: number, now: number) {
    this.#rate = rate;
    this.#capacity = capacity;
    this.#level = capacity;
    this.#filledAt = now;
  }

  /** Level now, in tokens; negative after an overdraft. */
  level(now: number): number {
    const filled = this.#level + (this.#rate * Math.max(0, now - this.#filledAt)) / 1000;
    this.#level = Math.min(this.#capacity, filled);
    this.#filledAt = Math.max(this.#filledAt, now);
    return this.#level;
  }

  /** Changes the rate and the capacity from now on. The level is reduced to the new capacity. */
  resize(rate: number, capacity: number, now: number): void {
    this.level(now);
    this.#rate = rate;
    this.#capacity = capacity;
    this.#level = Math.min(this.#level, capacity);
  }

  /** Consumes tokens; a negative number returns them. */
  consume(tokens: number, now: number): void {
    this.#level = Math.min(this.#capacity, this.level(now) - tokens);
  }

  /** Time until the level is positive, in milliseconds; Infinity if the bucket does not fill. */
  waitMs(now: number): number {
    const level = this.level(now);
    if (level > 0) return 0;
    return this.#rate > 0 ? Math.floor((-level / this.#rate) * 1000) + 1 : Infinity;
  }
}
