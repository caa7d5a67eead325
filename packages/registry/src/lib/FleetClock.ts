import type { Timer } from '@berylwood/base';

/** Samples older than this are discarded, in milliseconds. */
const MAX_SAMPLE_AGE_MS = 3000;

interface Sample {
  readonly offsetMs: number;
  readonly at: number;
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  const middle = Math.floor(sorted.length / 2);
  if (sorted.length % 2 === 1) return sorted[middle] ?? 0;
  return ((sorted[middle - 1] ?? 0) + (sorted[middle] ?? 0)) / 2;
}

/**
 * Wall-clock time on which most instances agree. The clocks of a few instances may jump by seconds,
 * so the leader takes the median of all clocks and the other instances follow the leader. Between
 * two readings, time advances with the monotonic clock.
 * @public
 */
export class FleetClock {
  readonly #timer: Timer;

  readonly #samples = new Map<string, Sample>();

  #offsetMs: number;

  constructor(timer: Timer) {
    this.#timer = timer;
    this.#offsetMs = timer.wall() - timer.now();
  }

  /** Milliseconds since the Unix epoch. */
  now(): number {
    return this.#timer.now() + this.#offsetMs;
  }

  /** Sets the clock to the leader's time, in milliseconds since the Unix epoch. */
  syncToLeader(leaderMs: number): void {
    this.#offsetMs = leaderMs - this.#timer.now();
  }

  /** On the leader: records the wall-clock time received from an instance. */
  observe(instance: string, wallMs: number): void {
    const at = this.#timer.now();
    this.#samples.set(instance, { offsetMs: wallMs - at, at });
  }

  /** On the leader: sets the clock to the median of all recent samples and the local clock. */
  applyMedian(): void {
    const now = this.#timer.now();
    for (const [instance, { at }] of this.#samples) {
      if (now - at > MAX_SAMPLE_AGE_MS) this.#samples.delete(instance);
    }
    const offsets = [...this.#samples.values()].map(({ offsetMs }) => offsetMs);
    this.#offsetMs = median([...offsets, this.#timer.wall() - now]);
  }
}
