import type { IncarnationId } from '@berylwood/schema';

const HOUR_MS = 3_600_000;

/**
 * Age up to which usage of a run that is not remembered is counted. Marks outlast it, so that none
 * is counted twice.
 * @internal
 */
export const MAX_USAGE_AGE_MS = 12 * HOUR_MS;

/** Time after its last usage for which a run is remembered. */
const MARK_LIFETIME_MS = 2 * MAX_USAGE_AGE_MS;

interface Mark {
  /** All sequence numbers up to this one are counted. */
  readonly mark: number;
  /** Numbers counted beyond it, by receipts of entries for a dead sidecar. */
  readonly beyond: readonly number[];
  /** Ledger's clock at the last usage. */
  readonly at: number;
}

export type UsageMarksState = readonly [IncarnationId, Mark][];

interface MutableMark {
  mark: number;
  readonly beyond: Set<number>;
  at: number;
}

/**
 * What has been counted of each run of a sidecar, so that each record counts once, whether the
 * sidecar or an entry hands it in, and in whatever order.
 * @internal
 */
export class UsageMarks {
  readonly #marks = new Map<IncarnationId, MutableMark>();

  markOf(incarnation: IncarnationId): number {
    return this.#marks.get(incarnation)?.mark ?? 0;
  }

  /** Whether the run is remembered. */
  isKnown(incarnation: IncarnationId): boolean {
    return this.#marks.has(incarnation);
  }

  /** Counts a record; false when it was counted before. */
  count(incarnation: IncarnationId, sequence: number, now: number): boolean {
    const run = this.#touch(incarnation, now);
    if (sequence <= run.mark || run.beyond.has(sequence)) return false;
    run.beyond.add(sequence);
    while (run.beyond.delete(run.mark + 1)) run.mark += 1;
    return true;
  }

  toState(): [IncarnationId, Mark][] {
    return [...this.#marks].map(([incarnation, { mark, beyond, at }]) => [
      incarnation,
      { mark, beyond: [...beyond], at },
    ]);
  }

  restore(state: UsageMarksState): void {
    this.#marks.clear();
    for (const [incarnation, { mark, beyond, at }] of state) {
      this.#marks.set(incarnation, { mark, beyond: new Set(beyond), at });
    }
  }

  /** The run with its time brought up; runs stand in the order of their times. */
  #touch(incarnation: IncarnationId, now: number): MutableMark {
    const run = this.#marks.get(incarnation) ?? { mark: 0, beyond: new Set<number>(), at: now };
    run.at = now;
    this.#marks.delete(incarnation);
    this.#marks.set(incarnation, run);
    for (const [oldest, { at }] of this.#marks) {
      if (now - at <= MARK_LIFETIME_MS) break;
      this.#marks.delete(oldest);
    }
    return run;
  }
}
