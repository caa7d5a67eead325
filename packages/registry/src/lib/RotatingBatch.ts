/**
 * Takes a bounded number of items in turn. Load pattern: the leader sends figures to each instance several
 * times a second; with hundreds of instances each receives them less often, instead of taking all of the
 * leader's processor time.
 * @public
 */
export class RotatingBatch {
  readonly #maxItems: number;

  #next = 0;

  constructor(maxItems: number) {
    this.#maxItems = maxItems;
  }

  /** The next items of a list, which may have changed since the last call. */
  take<T>(items: readonly T[]): T[] {
    const count = Math.min(this.#maxItems, items.length);
    const start = this.#next % Math.max(1, items.length);
    this.#next = start + count;
    return [...items.slice(start), ...items.slice(0, start)].slice(0, count);
  }
}
