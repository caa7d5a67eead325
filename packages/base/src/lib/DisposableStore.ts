/**
 * Owns disposables and disposes them in reverse order of addition. If one throws, the remaining items
 * are still disposed and the first error is rethrown at the end.
 * @public
 */
export class DisposableStore implements Disposable {
  #items = new Set<Disposable>();

  #disposed = false;

  get isDisposed(): boolean {
    return this.#disposed;
  }

  get size(): number {
    return this.#items.size;
  }

  /** Adds an item. If the store is already disposed, disposes the item immediately. */
  add<T extends Disposable>(item: T): T {
    if (this.#disposed) item[Symbol.dispose]();
    else this.#items.add(item);
    return item;
  }

  /** Adds a callback that runs once on disposal. */
  defer(release: () => void): Disposable {
    return this.add({ [Symbol.dispose]: release });
  }

  /** Removes one item and disposes it. */
  release(item: Disposable): void {
    if (this.#items.delete(item)) item[Symbol.dispose]();
  }

  /** Disposes all items; the store remains usable. */
  clear(): void {
    const items = [...this.#items].reverse();
    this.#items.clear();
    const errors: unknown[] = [];
    for (const item of items) {
      try {
        item[Symbol.dispose]();
      } catch (error) {
        errors.push(error);
      }
    }
    if (errors.length > 0) throw errors[0];
  }

  [Symbol.dispose](): void {
    this.#disposed = true;
    this.clear();
  }
}
