import { Failure, type Random } from '@berylwood/base';
import { RetryBudget } from '@berylwood/policy';
import { requestCodes } from '@berylwood/schema';
import { QUARANTINE_CRASHES } from './Admission';
import type { Exchange, AttemptFailure } from './Exchange';

/** What follows a setback of an attempt. @internal */
export type RecoveryDecision =
  | { readonly type: 'retry'; readonly delayMs: number; readonly isSuspect: boolean }
  | { readonly type: 'fail'; readonly failure: Failure };

/** Tries of a request that may have run before it is given up. */
const MAX_ATTEMPTS = 3;

/** Refusals before the hand-over after which a request is given up. */
const MAX_DEFERRALS = 20;

const DEFERRAL_DELAY_MS = 10;

/** Retries saved up in a quiet time: about what the slots of one endpoint held. */
const RETRY_BURST = 50;

/** Least delay after a crash: most entries learn of the suspicion meanwhile. */
const CRASH_RETRY_DELAY_MS = 250;

/** Decides whether a request goes on after its attempt has ended without an answer. @internal */
export class Recovery {
  readonly #budget = new RetryBudget({ burst: RETRY_BURST });

  readonly #random: Random;

  readonly #deferrals = new WeakMap<Exchange, number>();

  constructor(random: Random) {
    this.#random = random;
  }

  /** A request was dispatched for the first time. */
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

  /** An attempt that is proved not to have run may go elsewhere, whatever the request. */
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
