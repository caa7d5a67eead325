import type { Random } from '@berylwood/base';

/** Time for which an unused turn is kept, in milliseconds. */
const KEEP_MS = 1000;

/** Factor by which the period must change before a new turn is drawn. */
const REDRAW_FACTOR = 2;

/**
 * Share of a rate that an instance may use without agreement with others: one request per period, at turns
 * that start at a random time. Load pattern: many instances that know the same small rate but not each
 * other's requests. As their turns are spread over the period, few of them fall together, and a turn that
 * is not used lapses.
 * @internal
 */
export class PacedShare {
  readonly #random: Random;

  #periodMs = Infinity;

  #nextAt = Infinity;

  constructor(random: Random) {
    this.#random = random;
  }

  /** Whether a turn is available. @param periodMs time between turns, in milliseconds */
  isAvailable(periodMs: number, now: number): boolean {
    const ratio = Math.max(periodMs, this.#periodMs) / Math.min(periodMs, this.#periodMs);
    if (!(ratio < REDRAW_FACTOR)) this.#draw(periodMs, now);
    const lateMs = now - this.#nextAt - KEEP_MS;
    if (lateMs > 0) this.#nextAt += Math.ceil(lateMs / this.#periodMs) * this.#periodMs;
    return now >= this.#nextAt;
  }

  /** Uses the available turn. */
  take(): void {
    this.#nextAt += this.#periodMs;
  }

  /** Draws new turns with the next use, as after a time in which others used the rate. */
  reset(): void {
    this.#periodMs = Infinity;
  }

  #draw(periodMs: number, now: number): void {
    this.#periodMs = periodMs;
    this.#nextAt = now + this.#random.next() * periodMs;
  }
}
