import type { Random } from '@berylwood/base';

/** Options of a retry budget. @public */
export interface RetryBudgetOptions {
  /** Retries allowed per request, as a share of the traffic. Default 0.1. */
  readonly share?: number;
  /** Retries that may be saved up. Default 20. */
  readonly burst?: number;
  /** Shortest backoff, in milliseconds. Default 25. */
  readonly baseMs?: number;
  /** Longest backoff, in milliseconds. Default 2000. */
  readonly maxMs?: number;
}

const defaults: Required<RetryBudgetOptions> = { share: 0.1, burst: 20, baseMs: 25, maxMs: 2_000 };

/**
 * Keeps retries to a share of the traffic, so that they do not multiply an overload, and spreads
 * them by exponential backoff with full jitter.
 * @public
 */
export class RetryBudget {
  readonly #options: Required<RetryBudgetOptions>;

  #balance: number;

  constructor(options: RetryBudgetOptions = {}) {
    this.#options = { ...defaults, ...options };
    this.#balance = this.#options.burst;
  }

  /** Retries that may be made now. */
  get balance(): number {
    return Math.floor(this.#balance);
  }

  /** A new request has arrived. */
  recordRequest(): void {
    this.#balance = Math.min(this.#options.burst, this.#balance + this.#options.share);
  }

  /**
   * Takes one retry from the budget and returns its backoff in milliseconds; undefined when the
   * budget is spent or the backoff ends after the deadline.
   * @param attempts attempts made so far, from 1
   * @param remainingMs time left until the deadline, in milliseconds
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
