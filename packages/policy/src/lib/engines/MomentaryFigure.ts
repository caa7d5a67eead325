/**
 * Time after which the deviation from 1 counts half, in milliseconds. Periods of slow work last about 600 ms,
 * so a figure of half a second ago says almost nothing; after that time 1/16 of its deviation is left.
 */
const HALF_LIFE_MS = 125;

/** Largest factor that is used; an endpoint that states more is avoided as much. */
const MAX_FACTOR = 4;

/** Smallest factor. A low figure must not attract the requests of all instances at the same time. */
const MIN_FACTOR = 0.85;

const PERCENT = 100;

/**
 * How long work takes on an endpoint at this moment, as a factor of the usual time. It decays from the value
 * that the endpoint has stated to 1. Load pattern: machines that become slower for fractions of a second.
 * @public
 */
export class MomentaryFigure {
  #factor = 1;

  #statedAt = -Infinity;

  /** Stores a stated figure; 100 means as usual. */
  observe(percent: number, now: number): void {
    this.#factor = Math.min(MAX_FACTOR, Math.max(MIN_FACTOR, percent / PERCENT));
    this.#statedAt = now;
  }

  /** The factor that holds now. */
  factorAt(now: number): number {
    if (this.#factor === 1) return 1;
    return 1 + (this.#factor - 1) * 0.5 ** ((now - this.#statedAt) / HALF_LIFE_MS);
  }
}
