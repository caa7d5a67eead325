import type { Random } from '@berylwood/base';
import { RetryBudget } from '@berylwood/policy';
import type { PoolName } from './ids';

/** Bounds on sending requests once more, for all instances together. @public */
export interface RetryLimits {
  /** Repeats as a share of the requests. */
  readonly ratio: number;
  /** Repeats allowed beyond that share in one window. */
  readonly slack: number;
}

/** Part of the bounds that is used: instances divide them by a count that may be out of date. */
const USED_FRACTION = 0.7;

/** Change of the number of instances at which a budget is divided anew. */
const RESIZE_FACTOR = 2;

/** Longest backoff before a repeat, in milliseconds: it goes to another endpoint. */
const MAX_BACKOFF_MS = 20;

/**
 * Budgets of repeats by pool. Load pattern: when many endpoints fail at once, each failed request
 * would be sent again and double the load of those left. The bound holds for the whole system, so
 * each instance takes an equal part of it and gains more only with the requests it receives.
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

  /** Whether a repeat is left. */
  hasBudget(pool: PoolName): boolean {
    return this.#budgetOf(pool).balance >= 1;
  }

  /** Takes one repeat; the backoff before it in milliseconds, or undefined if none is left. */
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
