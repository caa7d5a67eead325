/** Time over which the level is averaged, in milliseconds. */
const LEVEL_MS = 15_000;

/** Time over which the slope is averaged, in milliseconds. */
const SLOPE_MS = 60_000;

/** Level and slope of a figure by double exponential smoothing, for a forecast. @internal */
export class Trend {
  #level: number | undefined;

  #slope = 0;

  #at = 0;

  observe(figure: number, now: number): void {
    if (this.#level === undefined) {
      this.#level = figure;
      this.#at = now;
      return;
    }
    const passedMs = now - this.#at;
    if (passedMs <= 0) return;
    const expected = this.#level + this.#slope * passedMs;
    const level = expected + (1 - Math.exp(-passedMs / LEVEL_MS)) * (figure - expected);
    const slope = (level - this.#level) / passedMs;
    this.#slope += (1 - Math.exp(-passedMs / SLOPE_MS)) * (slope - this.#slope);
    this.#level = level;
    this.#at = now;
  }

  /** Expected figure after a time in milliseconds; a fall is not counted on. */
  forecast(aheadMs: number): number {
    return Math.max(0, (this.#level ?? 0) + Math.max(0, this.#slope) * aheadMs);
  }
}
