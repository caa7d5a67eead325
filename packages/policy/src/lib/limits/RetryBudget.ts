import type { Random } from '@berylwood/base';

/** Options of a retry budget. @public */
export interface RetryBudgetOptions {
  /** Retries allowed per new request. Default 0.1. */
  readonly share?: number;
  /** Maximum number of retries that accumulate. Default 20. */
  readonly burst?: number;
  /** Upper bound of the first backoff, in milliseconds. Default 25. */
  readonly baseMs?: number;
  /** Upper bound of any backoff, in milliseconds. Default 2000. */
  readonly maxMs?: number;
}

const defaults: Required<RetryBudgetOptions> = { share: 0.1, burst: 20, baseMs: 25, maxMs: 2_000 };

/**
 * Limits retries to a share of the traffic, so that they do not amplify an overload, and spreads them
 * by exponential backoff with full jitter.
 * @public
 */
export class RetryBudget {
  readonly #options: Required<RetryBudgetOptions>;

  #balance: number;

  constructor(options: RetryBudgetOptions = {}) {
    this.#options = { ...defaults, ...options };
    this.#balance = this.#options.burst;
  }

  /** Number of retries available now. */
  get balance(): number {
    return Math.floor(this.#balance);
  }

  /** Adds the share of a new request to the budget. */
  recordRequest(): void {
    this.#balance = Math.min(this.#options.burst, this.#balance + this.#options.share);
  }

  /**
   * Takes one retry from the budget and returns its backoff in milliseconds. Returns undefined, and
   * takes nothing, if the budget is exhausted or the backoff would not end before the deadline.
   * @param attempts number of attempts made so far, at least 1
   * @param remainingMs time until the deadline, in milliseconds
   */
  reserveRetry(attempts: number, remainingMs: number, random: Random): number | undefined {
    if (this.#balance < 1) return undefined;
    const { baseMs, maxMs } = this.#options;
    const ceilingMs = Math.min(maxMs, baseMs * 2 ** (attempts - 1));
    const backoffMs = random.between(0, ceilingMs);
    if (backoffMs >= remainingMs) return undefined;
    this.#balance -= 1;
    return backoffMs;
  }
}
