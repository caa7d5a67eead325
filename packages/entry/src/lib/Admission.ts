import { fail, type Failure, type Timer } from '@berylwood/base';
import type { Subscription } from '@berylwood/feed';
import { requestCodes, type Suspicion } from '@berylwood/schema';
import { ok, type Result } from 'neverthrow';
import type { Order } from './classify';

/** Number of crashes after which a fingerprint is quarantined. */
export const QUARANTINE_CRASHES = 2;

/** Rejects quarantined requests and marks suspect ones. @internal */
export class Admission {
  readonly #subscription: Pick<Subscription, 'state'>;

  readonly #timer: Timer;

  constructor(subscription: Pick<Subscription, 'state'>, timer: Timer) {
    this.#subscription = subscription;
    this.#timer = timer;
  }

  /** Returns the order, marked if it is suspect, or a failure if it is quarantined. */
  admit(order: Order): Result<Order, Failure> {
    const suspicion = this.#suspicionOf(order);
    if (!suspicion) return ok(order);
    if (suspicion.crashes >= QUARANTINE_CRASHES) {
      const retryAfterMs = suspicion.untilMs - this.#timer.wall();
      return fail(requestCodes.quarantined, requestCodes.quarantined.meaning, { retryAfterMs });
    }
    return ok({ ...order, job: { ...order.job, isSuspect: true } });
  }

  /** Whether this entry has received a suspicion of the same content. */
  isSuspected(order: Order): boolean {
    return this.#suspicionOf(order) !== undefined;
  }

  #suspicionOf({ fingerprint }: Order): Suspicion | undefined {
    const suspicion = this.#subscription.state.suspicionOf(fingerprint);
    return suspicion && suspicion.untilMs > this.#timer.wall() ? suspicion : undefined;
  }
}
