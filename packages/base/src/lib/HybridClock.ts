import type { Timer } from './Timer';

/** A hybrid logical timestamp: wall time in milliseconds and a counter that breaks ties. @public */
export interface Stamp {
  readonly wallMs: number;
  readonly counter: number;
}

/**
 * Hybrid logical clock after Kulkarni et al., "Logical Physical Clocks" (2014). The order of stamps
 * respects causality across processes, and stamps stay close to wall time.
 * @public
 */
export class HybridClock {
  #last: Stamp = { wallMs: 0, counter: 0 };

  readonly #timer: Timer;

  constructor(timer: Timer) {
    this.#timer = timer;
  }

  /** Returns the stamp of a local or send event. */
  tick(): Stamp {
    return this.#advance(this.#last);
  }

  /** Advances the clock past the stamp of a received message and returns the new stamp. */
  observe(stamp: Stamp): Stamp {
    return this.#advance(compareStamps(stamp, this.#last) > 0 ? stamp : this.#last);
  }

  #advance(floor: Stamp): Stamp {
    const wallMs = this.#timer.wall();
    this.#last =
      wallMs > floor.wallMs
        ? { wallMs, counter: 0 }
        : { wallMs: floor.wallMs, counter: floor.counter + 1 };
    return this.#last;
  }
}

/** Compares two stamps: negative if the first is earlier. @public */
export function compareStamps(a: Stamp, b: Stamp): number {
  return a.wallMs - b.wallMs || a.counter - b.counter;
}
