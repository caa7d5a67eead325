import type { Timer } from '@berylwood/base';

/** Samples of instances that are older than this are left out, in milliseconds. */
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
 * The time of day that most instances agree on. The clocks of a few may jump by seconds, so the
 * leader takes the median over all of them and the others follow the leader. Between two readings
 * the monotonic clock is used.
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

  /** Takes over the leader's reading. */
  syncToLeader(leaderMs: number): void {
    this.#offsetMs = leaderMs - this.#timer.now();
  }

  /** Notes the time of day of an instance, as the leader receives it. */
  observe(instance: string, wallMs: number): void {
    const at = this.#timer.now();
    this.#samples.set(instance, { offsetMs: wallMs - at, at });
  }

  /** As the leader: settles on the median of all recent readings and this machine's own. */
  applyMedian(): void {
    const now = this.#timer.now();
    for (const [instance, { at }] of this.#samples) {
      if (now - at > MAX_SAMPLE_AGE_MS) this.#samples.delete(instance);
    }
    const offsets = [...this.#samples.values()].map(({ offsetMs }) => offsetMs);
    this.#offsetMs = median([...offsets, this.#timer.wall() - now]);
  }
}
