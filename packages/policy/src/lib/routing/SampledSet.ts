import type { Random } from '@berylwood/base';

/** Set with O(1) random sampling. @internal */
export class SampledSet<T> {
  readonly #items: T[] = [];

  readonly #positions = new Map<T, number>();

  get size(): number {
    return this.#items.length;
  }

  has(item: T): boolean {
    return this.#positions.has(item);
  }

  /** Adds the item if `isMember` is true, otherwise removes it. */
  set(item: T, isMember: boolean): void {
    if (isMember) this.#add(item);
    else this.#delete(item);
  }

  sample(random: Random): T | undefined {
    return this.#items.length > 0 ? random.pick(this.#items) : undefined;
  }

  [Symbol.iterator](): Iterator<T> {
    return this.#items[Symbol.iterator]();
  }

  #add(item: T): void {
    if (this.#positions.has(item)) return;
    this.#positions.set(item, this.#items.length);
    this.#items.push(item);
  }

  #delete(item: T): void {
    const position = this.#positions.get(item);
    if (position === undefined) return;
    this.#positions.delete(item);
    const last = this.#items.pop() as T;
    if (last === item) return;
    this.#items[position] = last;
    this.#positions.set(last, position);
  }
}
