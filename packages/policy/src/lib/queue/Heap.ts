/**
 * Binary min-heap with lazy deletion: an item for which `isLive` returns false is dropped when it
 * reaches the top. Push and pop take O(log n). @internal
 */
export class Heap<T> {
  readonly #items: T[] = [];

  readonly #key: (item: T) => number;

  readonly #isLive: (item: T) => boolean;

  constructor(key: (item: T) => number, isLive: (item: T) => boolean = () => true) {
    this.#key = key;
    this.#isLive = isLive;
  }

  /** Number of items, including dead ones that have not been dropped yet. */
  get size(): number {
    return this.#items.length;
  }

  push(item: T): void {
    this.#items.push(item);
    this.#siftUp(this.#items.length - 1);
  }

  /** The live item with the lowest key; stays in the heap. */
  peek(): T | undefined {
    while (this.#items.length > 0) {
      const top = this.#items[0] as T;
      if (this.#isLive(top)) return top;
      this.#removeTop();
    }
    return undefined;
  }

  /** Removes and returns the live item with the lowest key. */
  pop(): T | undefined {
    const top = this.peek();
    if (top !== undefined) this.#removeTop();
    return top;
  }

  /** Drops the dead items; O(n). */
  compact(): void {
    const live = this.#items.filter((item) => this.#isLive(item));
    this.#items.length = 0;
    for (const item of live) this.push(item);
  }

  #removeTop(): void {
    const last = this.#items.pop() as T;
    if (this.#items.length === 0) return;
    this.#items[0] = last;
    this.#siftDown(0);
  }

  #siftUp(start: number): void {
    const items = this.#items;
    const item = items[start] as T;
    const key = this.#key(item);
    let index = start;
    while (index > 0) {
      const parent = Math.floor((index - 1) / 2);
      if (this.#key(items[parent] as T) <= key) break;
      items[index] = items[parent] as T;
      index = parent;
    }
    items[index] = item;
  }

  #siftDown(start: number): void {
    const items = this.#items;
    const item = items[start] as T;
    const key = this.#key(item);
    let index = start;
    for (;;) {
      let child = 2 * index + 1;
      if (child >= items.length) break;
      const right = child + 1;
      if (right < items.length && this.#key(items[right] as T) < this.#key(items[child] as T)) {
        child = right;
      }
      if (this.#key(items[child] as T) >= key) break;
      items[index] = items[child] as T;
      index = child;
    }
    items[index] = item;
  }
}
