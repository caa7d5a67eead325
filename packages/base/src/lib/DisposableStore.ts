/**
 * Owns disposables and disposes them in the reverse order of their addition. One that throws does
 * not keep the others from being disposed; the first error is thrown at the end.
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

  /** Adds an item; a store that is already disposed disposes it at once. */
  add<T extends Disposable>(item: T): T {
    if (this.#disposed) item[Symbol.dispose]();
    else this.#items.add(item);
    return item;
  }

  /** Adds a function that is called once on disposal. */
  defer(release: () => void): Disposable {
    return this.add({ [Symbol.dispose]: release });
  }

  /** Disposes one item now. */
  release(item: Disposable): void {
    if (this.#items.delete(item)) item[Symbol.dispose]();
  }

  /** Disposes what the store holds and keeps it usable. */
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
