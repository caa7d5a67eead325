import { Timer } from './Timer';

interface ScheduledCallback {
  readonly at: number;
  readonly sequence: number;
  readonly callback: () => void;
}

/**
 * Timer for tests. Its time changes only through `advance`, which runs callbacks in order of due time.
 * @public
 */
export class VirtualTimer extends Timer {
  #now = 0;

  #sequence = 0;

  #scheduled: ScheduledCallback[] = [];

  readonly #wallOffset: number;

  constructor(wallOffsetMs = 0) {
    super();
    this.#wallOffset = wallOffsetMs;
  }

  override now(): number {
    return this.#now;
  }

  override wall(): number {
    return this.#wallOffset + this.#now;
  }

  override after(delayMs: number, callback: () => void): Disposable {
    this.#sequence += 1;
    const entry = { at: this.#now + Math.max(0, delayMs), sequence: this.#sequence, callback };
    this.#scheduled.push(entry);
    return {
      [Symbol.dispose]: () => {
        this.#scheduled = this.#scheduled.filter((item) => item !== entry);
      },
    };
  }

  /** Due time of the next callback, or undefined if none is scheduled. */
  get nextAt(): number | undefined {
    return this.#next()?.at;
  }

  /** Moves time forward and runs each callback that becomes due. */
  advance(durationMs: number): void {
    const end = this.#now + durationMs;
    for (let next = this.#next(); next && next.at <= end; next = this.#next()) {
      const due = next;
      this.#scheduled = this.#scheduled.filter((item) => item !== due);
      this.#now = Math.max(this.#now, due.at);
      due.callback();
    }
    this.#now = end;
  }

  #next(): ScheduledCallback | undefined {
    let earliest: ScheduledCallback | undefined;
    for (const entry of this.#scheduled) {
      if (
        !earliest ||
        entry.at < earliest.at ||
        (entry.at === earliest.at && entry.sequence < earliest.sequence)
      ) {
        earliest = entry;
      }
    }
    return earliest;
  }
}
