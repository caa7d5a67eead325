/** Least-recently-used cache of prompt blocks. @internal */
export class PrefixCache {
  /** Called with the blocks that a call has stored or evicted. */
  onChange: (kind: 'stored' | 'evicted', blocks: string[]) => void = () => {};

  readonly #capacity: number;

  /** In order of use, the oldest first. */
  readonly #blocks = new Set<string>();

  /** @param capacity - blocks held at most. */
  constructor(capacity: number) {
    this.#capacity = capacity;
  }

  get size(): number {
    return this.#blocks.size;
  }

  /** Number of leading blocks that are held; they count as used now. */
  lookup(blocks: readonly string[]): number {
    const missing = blocks.findIndex((block) => !this.#blocks.has(block));
    const found = missing < 0 ? blocks.length : missing;
    for (const block of blocks.slice(0, found).reverse()) this.#touch(block);
    return found;
  }

  /** Holds the blocks of a prompt; the first blocks are evicted last. */
  store(blocks: readonly string[]): void {
    const kept = blocks.slice(0, this.#capacity);
    const stored = kept.filter((block) => !this.#blocks.has(block));
    for (const block of [...kept].reverse()) this.#touch(block);
    const excess = Math.max(0, this.#blocks.size - this.#capacity);
    const evicted = [...this.#blocks].slice(0, excess);
    for (const block of evicted) this.#blocks.delete(block);
    if (stored.length > 0) this.onChange('stored', stored);
    if (evicted.length > 0) this.onChange('evicted', evicted);
  }

  #touch(block: string): void {
    this.#blocks.delete(block);
    this.#blocks.add(block);
  }
}
