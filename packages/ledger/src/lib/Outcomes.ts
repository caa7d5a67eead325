import { seenIndexOf, type ChangeId } from '@berylwood/schema';
import type { CommandOutcome } from './Command';

/** Number of retained outcomes: more than three days of changes at 13,000 a day. */
const DEFAULT_CAPACITY = 50_000;

/** Outcome of a change, with the digest that identifies its command. */
interface StoredOutcome {
  /** Feed index at which the change was executed. */
  readonly index: number;
  /** Absent in outcomes stored by version 1. */
  readonly digest?: string;
  readonly outcome: CommandOutcome;
}

export interface OutcomesState {
  readonly horizon: number;
  readonly outcomes: readonly [ChangeId, StoredOutcome][];
}

/**
 * Outcomes of changes, to deduplicate resends. A change is executed at most once, however late it is
 * resent. All outcomes with an index above the horizon are retained. A change id carries the feed
 * index that its creator had seen, and a change executes at a later index. If the seen index is at
 * or above the horizon, an earlier execution would therefore still have its outcome here. If it is
 * below the horizon and no outcome is retained, the change may already have been executed, and it is
 * rejected.
 * @internal
 */
export class Outcomes {
  #horizon = 0;

  readonly #byChange = new Map<ChangeId, StoredOutcome>();

  readonly #capacity: number;

  constructor(capacity = DEFAULT_CAPACITY) {
    this.#capacity = capacity;
  }

  find(change: ChangeId): StoredOutcome | undefined {
    return this.#byChange.get(change);
  }

  /** Whether the change may have been executed, with an outcome that is no longer retained. */
  isPastRetention(change: ChangeId): boolean {
    return seenIndexOf(change) < this.#horizon && !this.#byChange.has(change);
  }

  add(change: ChangeId, added: StoredOutcome): void {
    this.#byChange.set(change, added);
    if (this.#byChange.size <= this.#capacity) return;
    const [oldest] = this.#byChange;
    if (!oldest) return;
    this.#byChange.delete(oldest[0]);
    this.#horizon = Math.max(this.#horizon, oldest[1].index);
  }

  toState(): OutcomesState {
    return { horizon: this.#horizon, outcomes: [...this.#byChange] };
  }

  restore(state: OutcomesState): void {
    this.#horizon = state.horizon;
    this.#byChange.clear();
    for (const [change, storedOutcome] of state.outcomes) this.#byChange.set(change, storedOutcome);
  }
}
