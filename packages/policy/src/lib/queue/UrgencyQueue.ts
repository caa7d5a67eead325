import { FairQueue, type QueueItem } from './FairQueue';

/** A request that waits in an urgency queue. @public */
export interface RankedItem extends QueueItem {
  /** 0 is the most urgent. */
  readonly rank: number;
}

/**
 * Waiting requests, the most urgent rank first, and within a rank fairly between workspaces. Load pattern:
 * a pool accepts fewer requests than arrive, most of them from one workspace.
 * @public
 */
export class UrgencyQueue<T extends RankedItem> {
  readonly #queues: FairQueue<T>[] = [];

  /** By rank, the number of waiting items. */
  get waiting(): number[] {
    return this.#queues.map((queue) => queue.waiting);
  }

  /** Number of waiting items that are served before a new one of the rank. */
  countAhead(rank: number): number {
    return this.waiting.slice(0, rank + 1).reduce((sum, count) => sum + count, 0);
  }

  add(item: T): void {
    while (this.#queues.length <= item.rank) this.#queues.push(new FairQueue<T>());
    this.#queues[item.rank]?.add(item);
  }

  /** Removes an item; does nothing if it has left the queue. */
  remove(item: T): void {
    if (!item.isWaiting) return;
    Object.assign(item, { isWaiting: false });
    this.#queues[item.rank]?.remove(item);
  }

  /**
   * Removes the item to serve next and returns it; undefined if none is waiting that can be served. One that can't
   * be served now keeps its place and does not hold up the others.
   */
  take(now: number, canBeServed: (item: T) => boolean = () => true): T | undefined {
    for (const queue of this.#queues) {
      const item = queue.waiting > 0 ? queue.peekWhere(now, canBeServed) : undefined;
      if (item) {
        this.remove(item);
        queue.charge(item.workspace, item.share, item.work);
        return item;
      }
    }
    return undefined;
  }
}
