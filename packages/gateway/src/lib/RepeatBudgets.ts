import type { Random } from '@berylwood/base';
import { RetryBudget } from '@berylwood/policy';
import type { PoolName } from './ids';

/** Bounds on sending requests once more, for all instances together. @public */
export interface RepeatBounds {
  /** Repeats as a share of the requests. */
  readonly ratio: number;
  /** Repeats allowed beyond that share in one window. */
  readonly slack: number;
}

/** Part of the bounds that is used: instances divide them by a count that may be out of date. */
const USED_SHARE = 0.7;

/** Change of the number of instances at which a budget is divided anew. */
const DIVIDE_ANEW_FACTOR = 2;

/** Longest backoff before a repeat, in milliseconds: it goes to another endpoint. */
const MAX_BACKOFF_MS = 20;

/**
 * Budgets of repeats by pool. Load pattern: when many endpoints fail at once, each failed request
 * would be sent again and double the load of those left. The bound holds for the whole system, so
 * each instance takes an equal part of it and gains more only with the requests it receives.
 * @internal
 */
export class RepeatBudgets {
  readonly #bounds: RepeatBounds;

  readonly #instances: () => number;

  readonly #budgets = new Map<PoolName, { budget: RetryBudget; instances: number }>();

  constructor(bounds: RepeatBounds, instances: () => number) {
    this.#bounds = bounds;
    this.#instances = instances;
  }

  arrived(pool: PoolName): void {
    this.#of(pool).recordRequest();
  }

  /** Whether a repeat is left. */
  has(pool: PoolName): boolean {
    return this.#of(pool).balance >= 1;
  }

  /** Takes one repeat; the backoff before it in milliseconds, or undefined if none is left. */
  take(pool: PoolName, attempts: number, leftMs: number, random: Random): number | undefined {
    return this.#of(pool).reserveRetry(attempts, leftMs, random);
  }

  #of(pool: PoolName): RetryBudget {
    const known = this.#budgets.get(pool);
    const instances = this.#instances();
    if (known && !this.#isOutdated(known.instances, instances)) return known.budget;
    const { ratio, slack } = this.#bounds;
    const budget = new RetryBudget({
      share: ratio * USED_SHARE,
      burst: Math.max(1, (slack * USED_SHARE) / instances),
      baseMs: 1,
      maxMs: MAX_BACKOFF_MS,
    });
    this.#budgets.set(pool, { budget, instances });
    return budget;
  }

  #isOutdated(before: number, now: number): boolean {
    return Math.max(before, now) / Math.min(before, now) >= DIVIDE_ANEW_FACTOR;
  }
}
