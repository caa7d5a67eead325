import type { Random } from '@berylwood/base';
import { RetryBudget } from '@berylwood/policy';
import type { PoolName } from './ids';

/** Limits on retries, for all instances together. @public */
export interface RetryLimits {
  /** Retries as a fraction of the requests. */
  readonly ratio: number;
  /** Retries allowed beyond that fraction in one window. */
  readonly slack: number;
}

/** Fraction of the limits in use; a margin, since each instance divides them by a count that may be stale. */
const USED_FRACTION = 0.7;

/** Factor by which the number of instances must change before a budget is replaced. */
const RESIZE_FACTOR = 2;

/** Maximum backoff, in milliseconds. It is short, since a retry is sent to another endpoint. */
const MAX_BACKOFF_MS = 20;

/**
 * Retry budgets by pool. Load pattern: when many endpoints fail at once, retrying every failed
 * request would double the load of the remaining ones. The limits hold for the whole system, so each
 * instance starts with an equal share and earns further retries only by the requests it receives.
 * @internal
 */
export class RetryBudgets {
  readonly #limits: RetryLimits;

  readonly #instances: () => number;

  readonly #budgets = new Map<PoolName, { budget: RetryBudget; instances: number }>();

  constructor(bounds: RetryLimits, instances: () => number) {
    this.#limits = bounds;
    this.#instances = instances;
  }

  recordRequest(pool: PoolName): void {
    this.#budgetOf(pool).recordRequest();
  }

  /** Whether the budget allows a retry. */
  hasBudget(pool: PoolName): boolean {
    return this.#budgetOf(pool).balance >= 1;
  }

  /**
   * Takes one retry. Returns its backoff in milliseconds, or undefined if the budget is exhausted or
   * the backoff would not end within `leftMs`.
   */
  take(pool: PoolName, attempts: number, leftMs: number, random: Random): number | undefined {
    return this.#budgetOf(pool).reserveRetry(attempts, leftMs, random);
  }

  #budgetOf(pool: PoolName): RetryBudget {
    const known = this.#budgets.get(pool);
    const instances = this.#instances();
    if (known && !this.#isOutdated(known.instances, instances)) return known.budget;
    const { ratio, slack } = this.#limits;
    const budget = new RetryBudget({
      share: ratio * USED_FRACTION,
      burst: Math.max(1, (slack * USED_FRACTION) / instances),
      baseMs: 1,
      maxMs: MAX_BACKOFF_MS,
    });
    this.#budgets.set(pool, { budget, instances });
    return budget;
  }

  #isOutdated(before: number, now: number): boolean {
    return Math.max(before, now) / Math.min(before, now) >= RESIZE_FACTOR;
  }
}
