import type { Random, Timer } from '@berylwood/base';
import type { CacheEvent } from '@berylwood/schema';

/** Options of a log of cache events. @internal */
export interface CacheEventLogOptions {
  readonly timer: Timer;
  readonly random: Random;
  /** Time until an event can be read, in milliseconds. */
  readonly delayMs: number;
  /** Share of the events that are lost, from 0 to 1. */
  readonly loss: number;
}

/** A cache event with its number; a missing number is a lost event. @public */
export interface NumberedCacheEvent extends CacheEvent {
  readonly sequence: number;
}

/** Events kept for readers. */
const CAPACITY = 10_000;

/** Cache events of an engine, which can be read late and with gaps. @internal */
export class CacheEventLog {
  readonly #options: CacheEventLogOptions;

  #events: (NumberedCacheEvent & { visibleAt: number })[] = [];

  #sequence = 0;

  constructor(options: CacheEventLogOptions) {
    this.#options = options;
  }

  add(kind: CacheEvent['kind'], blocks: string[]): void {
    const { timer, random, delayMs, loss } = this.#options;
    this.#sequence += 1;
    if (random.next() < loss) return;
    const visibleAt = timer.now() + delayMs;
    this.#events.push({ sequence: this.#sequence, kind, blocks, visibleAt });
    if (this.#events.length > 2 * CAPACITY) this.#events = this.#events.slice(-CAPACITY);
  }

  /** Visible events after a sequence number. */
  after(sequence: number): NumberedCacheEvent[] {
    const now = this.#options.timer.now();
    return this.#events
      .filter((event) => event.sequence > sequence && event.visibleAt <= now)
      .map(({ visibleAt, ...event }) => event);
  }
}
