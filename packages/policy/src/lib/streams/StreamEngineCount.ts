/** Fraction of the engines by which the number grows at a time, since each move loses a cache. */
const GROWTH_FRACTION = 1 / 12;

/** Shortest time between two steps of growth, in milliseconds: less than a round of 100 ms, which varies. */
const GROWTH_INTERVAL_MS = 80;

/** Time for which fewer engines have to suffice before the number shrinks, in milliseconds. */
const SHRINK_AFTER_MS = 4000;

/** Interval between two steps of one engine when the number shrinks, in milliseconds. */
const SHRINK_INTERVAL_MS = 1000;

/**
 * Number of stream engines of a pool over time. It follows an increase of the target at once, a few engines at a
 * time, and a decrease only after the target has been lower for some seconds, since bursts recur.
 * @public
 */
export class StreamEngineCount {
  #value: number;

  #changedAt = -Infinity;

  /** Since when the target has been lower than the number. */
  #lowerSince = Infinity;

  constructor(initial: number) {
    this.#value = initial;
  }

  get value(): number {
    return this.#value;
  }

  update(target: number, engines: number, now: number): number {
    if (this.#value >= engines) this.#set(Math.min(target, Math.max(0, engines - 1)), now);
    if (target >= this.#value) this.#lowerSince = Infinity;
    else this.#lowerSince = Math.min(this.#lowerSince, now);
    const sinceChangeMs = now - this.#changedAt;
    if (target > this.#value && sinceChangeMs >= GROWTH_INTERVAL_MS) {
      const growth = Math.max(1, Math.ceil(engines * GROWTH_FRACTION));
      this.#set(Math.min(target, this.#value + growth), now);
    } else if (
      target < this.#value &&
      now - this.#lowerSince >= SHRINK_AFTER_MS &&
      sinceChangeMs >= SHRINK_INTERVAL_MS
    ) {
      this.#set(this.#value - 1, now);
    }
    return this.#value;
  }

  #set(value: number, now: number): void {
    this.#value = value;
    this.#changedAt = now;
  }
}
