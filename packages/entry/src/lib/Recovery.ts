import { Failure, type Random } from '@berylwood/base';
import { RetryBudget } from '@berylwood/policy';
import { requestCodes } from '@berylwood/schema';
import { QUARANTINE_CRASHES } from './Admission';
import type { Exchange, AttemptFailure } from './Exchange';

/** Decision after a failed attempt. @internal */
export type RecoveryDecision =
  | { readonly type: 'retry'; readonly delayMs: number; readonly isSuspect: boolean }
  | { readonly type: 'fail'; readonly failure: Failure };

/** Maximum number of attempts of a request that may have run. */
const MAX_ATTEMPTS = 3;

/** Maximum number of retries of a request whose attempts are proved not to have run. */
const MAX_DEFERRALS = 20;

const DEFERRAL_DELAY_MS = 10;

/** Retries that the budget accumulates: about the number of slots of one endpoint. */
const RETRY_BURST = 50;

/** Base of the minimum delay after a crash, in which most entries receive the suspicion. */
const CRASH_RETRY_DELAY_MS = 250;

/** Decides whether a request is retried after a failed attempt. @internal */
export class Recovery {
  readonly #budget = new RetryBudget({ burst: RETRY_BURST });

  readonly #random: Random;

  readonly #deferrals = new WeakMap<Exchange, number>();

  constructor(random: Random) {
    this.#random = random;
  }

  /** Records the first dispatch of a request in the retry budget. */
  recordRequest(): void {
    this.#budget.recordRequest();
  }

  decide(exchange: Exchange, { failure, crashed }: AttemptFailure, now: number): RecoveryDecision {
    if (crashed) exchange.crashes += 1;
    if (exchange.crashes >= QUARANTINE_CRASHES) {
      const { quarantined } = requestCodes;
      return { type: 'fail', failure: new Failure(quarantined, quarantined.meaning) };
    }
    const { job } = exchange.order;
    const leftMs = job.expiresAt - now;
    const isDeferred = exchange.lifecycle.state === 'deferred';
    const delayMs = isDeferred
      ? this.#deferralDelayMs(exchange)
      : this.#retryDelayMs(exchange, leftMs, crashed);
    if (delayMs === undefined || delayMs >= leftMs) return { type: 'fail', failure };
    return { type: 'retry', delayMs, isSuspect: job.isSuspect || crashed };
  }

  /** Delay before a retry of an attempt that is proved not to have run, also if not idempotent. */
  #deferralDelayMs(exchange: Exchange): number | undefined {
    const deferrals = (this.#deferrals.get(exchange) ?? 0) + 1;
    this.#deferrals.set(exchange, deferrals);
    if (deferrals > MAX_DEFERRALS) return undefined;
    return DEFERRAL_DELAY_MS * deferrals * this.#random.between(0.5, 1.5);
  }

  #retryDelayMs(exchange: Exchange, leftMs: number, crashed: boolean): number | undefined {
    const { order, writer, attempts } = exchange;
    if (!order.idempotent || !writer.isEmpty || attempts >= MAX_ATTEMPTS) return undefined;
    const backoffMs = this.#budget.reserveRetry(attempts, leftMs, this.#random);
    if (backoffMs === undefined || !crashed) return backoffMs;
    return Math.max(backoffMs, CRASH_RETRY_DELAY_MS * this.#random.between(0.5, 1.5));
  }
}
