/** Lower bound of the first bucket. */
const MIN_VALUE = 1;

/** Ratio of the bounds of a bucket, so that a quantile is exact to about 4%. */
const RATIO = 1.08;

/** Covers values up to about 10,000. */
const BUCKETS = 120;

/** Decaying more often would change no quantile noticeably. */
const DECAY_INTERVAL_MS = 250;

/**
 * Quantiles of recent positive values. Each value counts half as much after the half-life. The memory is fixed,
 * and adding a value takes constant time.
 * @public
 */
export class DecayedHistogram {
  readonly #halfLifeMs: number;

  readonly #weights = new Float64Array(BUCKETS);

  #weight = 0;

  #decayedAt = 0;

  constructor(halfLifeMs: number) {
    this.#halfLifeMs = halfLifeMs;
  }

  add(value: number, now: number): void {
    this.#decay(now);
    const bucket = Math.floor(Math.log(value / MIN_VALUE) / Math.log(RATIO));
    const at = Math.min(BUCKETS - 1, Math.max(0, bucket));
    this.#weights[at] = (this.#weights[at] ?? 0) + 1;
    this.#weight += 1;
  }

  /** Number of values, each by its present weight. */
  weight(now: number): number {
    this.#decay(now);
    return this.#weight;
  }

  /** Value that a fraction of the values does not exceed; undefined without values. */
  quantile(fraction: number, now: number): number | undefined {
    this.#decay(now);
    if (this.#weight <= 0) return undefined;
    let left = fraction * this.#weight;
    let bucket = 0;
    for (; bucket < BUCKETS - 1; bucket += 1) {
      left -= this.#weights[bucket] ?? 0;
      if (left <= 0) break;
    }
    return MIN_VALUE * RATIO ** (bucket + 0.5);
  }

  #decay(now: number): void {
    const elapsedMs = now - this.#decayedAt;
    if (elapsedMs < DECAY_INTERVAL_MS) return;
    this.#decayedAt = now;
    const factor = 0.5 ** (elapsedMs / this.#halfLifeMs);
    this.#weight = 0;
    for (let bucket = 0; bucket < BUCKETS; bucket += 1) {
      const weight = (this.#weights[bucket] ?? 0) * factor;
      this.#weights[bucket] = weight;
      this.#weight += weight;
    }
  }
}
