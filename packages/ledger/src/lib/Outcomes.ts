import { seenIndexOf, type ChangeId } from '@berylwood/schema';
import type { CommandOutcome } from './Command';

/** Outcomes kept: more than three days of changes at 13,000 a day. */
const DEFAULT_CAPACITY = 50_000;

/** An outcome with what identifies the command that had it. */
interface Kept {
  /** Feed index at which the change was executed. */
  readonly index: number;
  /** Missing in outcomes that version 1 kept. */
  readonly digest?: string;
  readonly outcome: CommandOutcome;
}

export interface OutcomesState {
  readonly horizon: number;
  readonly outcomes: readonly [ChangeId, Kept][];
}

/**
 * Outcomes of changes, for resends. A change is executed at most once, however late it is resent:
 * every outcome after the horizon is kept, and a change whose maker had seen less than the horizon
 * is refused unless its outcome is kept. A change that was executed beyond the horizon has an
 * outcome here, as a change is executed after the index that its maker had seen.
 * @internal
 */
export class Outcomes {
  #horizon = 0;

  readonly #kept = new Map<ChangeId, Kept>();

  readonly #capacity: number;

  constructor(capacity = DEFAULT_CAPACITY) {
    this.#capacity = capacity;
  }

  find(change: ChangeId): Kept | undefined {
    return this.#kept.get(change);
  }

  /** Whether the change may have been executed before the outcomes that are kept. */
  isForgotten(change: ChangeId): boolean {
    return seenIndexOf(change) < this.#horizon && !this.#kept.has(change);
  }

  add(change: ChangeId, kept: Kept): void {
    this.#kept.set(change, kept);
    if (this.#kept.size <= this.#capacity) return;
    const [oldest] = this.#kept;
    if (!oldest) return;
    this.#kept.delete(oldest[0]);
    this.#horizon = Math.max(this.#horizon, oldest[1].index);
  }

  toState(): OutcomesState {
    return { horizon: this.#horizon, outcomes: [...this.#kept] };
  }

  restore(state: OutcomesState): void {
    this.#horizon = state.horizon;
    this.#kept.clear();
    for (const [change, kept] of state.outcomes) this.#kept.set(change, kept);
  }
}
