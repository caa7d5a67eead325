import { Failure, type Random } from '@berylwood/base';
import { requestCodes } from '@berylwood/schema';
import { QUARANTINE_CRASHES } from './Admission';
import type { Exchange, Setback } from './Exchange';
import { RetryBudget } from './RetryBudget';

/** What follows a setback of an attempt. @internal */
export type Remedy =
  | { readonly type: 'retry'; readonly delayMs: number; readonly isSuspect: boolean }
  | { readonly type: 'fail'; readonly failure: Failure };

/** Tries of a request that may have run before it is given up. */
const MAX_ATTEMPTS = 3;

/** Refusals before the hand-over after which a request is given up. */
const MAX_DEFERRALS = 20;

const DEFERRAL_DELAY_MS = 10;
const RETRY_DELAY_MS = 40;

/** Delay after a crash: the other entries learn of the suspicion meanwhile. */
const SUSPECT_DELAY_MS = 250;

/** Decides whether a request goes on after its attempt has ended without an answer. @internal */
export class Recovery {
  readonly #budget = new RetryBudget();

  readonly #random: Random;

  readonly #deferrals = new WeakMap<Exchange, number>();

  constructor(random: Random) {
    this.#random = random;
  }

  /** A request was dispatched for the first time. */
  dispatched(): void {
    this.#budget.deposit();
  }

  decide(exchange: Exchange, { failure, crashed }: Setback, now: number): Remedy {
    if (crashed) exchange.crashes += 1;
    if (exchange.crashes >= QUARANTINE_CRASHES) {
      const { quarantined } = requestCodes;
      return { type: 'fail', failure: new Failure(quarantined, quarantined.meaning) };
    }
    const isSuspect = exchange.order.job.isSuspect || crashed;
    const isDeferred = exchange.lifecycle.state === 'deferred';
    const delayMs = this.#delay(exchange, isDeferred, isSuspect);
    const isInTime = now + delayMs < exchange.order.job.expiresAt;
    const isAllowed = isDeferred ? this.#mayDefer(exchange) : this.#mayRetry(exchange);
    if (isInTime && isAllowed) return { type: 'retry', delayMs, isSuspect };
    return { type: 'fail', failure };
  }

  /** An attempt that is proved not to have run may go elsewhere, whatever the request. */
  #mayDefer(exchange: Exchange): boolean {
    const deferrals = (this.#deferrals.get(exchange) ?? 0) + 1;
    this.#deferrals.set(exchange, deferrals);
    return deferrals <= MAX_DEFERRALS;
  }

  #mayRetry({ order, writer, attempts }: Exchange): boolean {
    if (!order.idempotent || !writer.isUntouched || attempts >= MAX_ATTEMPTS) return false;
    return this.#budget.withdraw();
  }

  #delay(exchange: Exchange, isDeferred: boolean, isSuspect: boolean): number {
    const jitter = this.#random.between(0.5, 1.5);
    if (isSuspect) return SUSPECT_DELAY_MS * jitter;
    const step = isDeferred ? DEFERRAL_DELAY_MS : RETRY_DELAY_MS;
    const count = isDeferred ? (this.#deferrals.get(exchange) ?? 0) : exchange.attempts;
    return step * (count + 1) * jitter;
  }
}
