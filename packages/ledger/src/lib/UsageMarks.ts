import type { IncarnationId } from '@berylwood/schema';

const HOUR_MS = 3_600_000;

/**
 * Maximum age of a usage record that is counted when its incarnation has no mark. Marks are retained
 * for longer than this, so that no record is counted twice.
 * @internal
 */
export const MAX_USAGE_AGE_MS = 12 * HOUR_MS;

/** Time for which the mark of an incarnation is retained after its last usage record. */
const MARK_LIFETIME_MS = 2 * MAX_USAGE_AGE_MS;

interface Mark {
  /** All sequence numbers up to and including this one are counted. */
  readonly mark: number;
  /** Counted sequence numbers above `mark`, from receipts that entries send for a dead sidecar. */
  readonly beyond: readonly number[];
  /** Ledger clock at the last usage record. */
  readonly at: number;
}

export type UsageMarksState = readonly [IncarnationId, Mark][];

interface MutableMark {
  mark: number;
  readonly beyond: Set<number>;
  at: number;
}

/**
 * Sequence numbers counted for each incarnation of a sidecar. Each record counts once, in any order
 * of arrival and whether the sidecar or an entry sends it.
 * @internal
 */
export class UsageMarks {
  readonly #marks = new Map<IncarnationId, MutableMark>();

  markOf(incarnation: IncarnationId): number {
    return this.#marks.get(incarnation)?.mark ?? 0;
  }

  /** Whether a mark of the incarnation is retained. */
  isKnown(incarnation: IncarnationId): boolean {
    return this.#marks.has(incarnation);
  }

  /** Counts a record. Returns false when it was already counted. */
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

  /** Updates the time of a mark, and expires old marks. Marks are kept in order of time. */
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
