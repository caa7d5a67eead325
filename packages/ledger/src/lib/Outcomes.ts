import { seenIndexOf, type ChangeId } from '@berylwood/schema';
import type { CommandOutcome } from './Command';

/** Outcomes kept: more than three days of changes at 13,000 a day. */
const DEFAULT_CAPACITY = 50_000;

/** An outcome with what identifies the command that had it. */
interface StoredOutcome {
  /** Feed index at which the change was executed. */
  readonly index: number;
  /** Missing in outcomes that version 1 kept. */
  readonly digest?: string;
  readonly outcome: CommandOutcome;
}

export interface OutcomesState {
  readonly horizon: number;
  readonly outcomes: readonly [ChangeId, StoredOutcome][];
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

  readonly #byChange = new Map<ChangeId, StoredOutcome>();

  readonly #capacity: number;

  constructor(capacity = DEFAULT_CAPACITY) {
    this.#capacity = capacity;
  }

  find(change: ChangeId): StoredOutcome | undefined {
    return this.#byChange.get(change);
  }

  /** Whether the change may have been executed before the outcomes that are kept. */
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
