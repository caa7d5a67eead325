/** Time over which the level is averaged, in milliseconds. */
const LEVEL_MS = 15_000;

/** Time over which the slope is averaged, in milliseconds. */
const SLOPE_MS = 60_000;

/** Forecasts a quantity from its level and slope, by double exponential smoothing. @internal */
export class Trend {
  #level: number | undefined;

  #slope = 0;

  #observedAt = 0;

  observe(measurement: number, now: number): void {
    if (this.#level === undefined) {
      this.#level = measurement;
      this.#observedAt = now;
      return;
    }
    const elapsedMs = now - this.#observedAt;
    if (elapsedMs <= 0) return;
    const expected = this.#level + this.#slope * elapsedMs;
    const level = expected + (1 - Math.exp(-elapsedMs / LEVEL_MS)) * (measurement - expected);
    const slope = (level - this.#level) / elapsedMs;
    this.#slope += (1 - Math.exp(-elapsedMs / SLOPE_MS)) * (slope - this.#slope);
    this.#level = level;
    this.#observedAt = now;
  }

  /** Expected value after a time in milliseconds. A negative slope is ignored. */
  forecast(horizonMs: number): number {
    return Math.max(0, (this.#level ?? 0) + Math.max(0, this.#slope) * horizonMs);
  }
}
