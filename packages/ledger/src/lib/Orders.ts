import type { Code } from '@berylwood/base';
import type { OrderAction, OrderId } from '@berylwood/schema';
import { err, ok, type Result } from 'neverthrow';
import { ledgerCodes } from './codes';
import { nextStep, type OrderEvent, type OrderStep } from './orderLife';

/** One order to the platform or to an engine. @public */
export interface Order {
  readonly order: OrderId;
  readonly action: OrderAction;
  readonly step: OrderStep;
  readonly intendedAt: number;
  /** Time of the latest change of `step`. */
  readonly at: number;
  /** Fencing number under which the order was last sent; 0 if never sent. */
  readonly fence: number;
  readonly sends: number;
  readonly accepted?: boolean;
  readonly message?: string;
}

/** Maximum number of orders without a reply; more are rejected. */
const MAX_OPEN = 1000;

/** Number of answered orders retained for operators and for late replies. */
const MAX_ANSWERED = 1000;

/** Orders to the platform and to engines, with their life cycle. @internal */
export class Orders {
  readonly #orders = new Map<OrderId, Order>();

  get all(): Order[] {
    return [...this.#orders.values()];
  }

  /** Orders without a reply, in the sequence in which they were recorded. */
  get open(): Order[] {
    return this.all.filter(({ step }) => step !== 'answered');
  }

  find(order: OrderId): Order | undefined {
    return this.#orders.get(order);
  }

  intend(order: OrderId, action: OrderAction, now: number): Result<void, Code> {
    if (this.#orders.has(order)) return ok(undefined);
    if (this.open.length >= MAX_OPEN) return err(ledgerCodes.ordersFull);
    const initial = { step: 'intended', intendedAt: now, at: now, fence: 0, sends: 0 } as const;
    this.#orders.set(order, { order, action, ...initial });
    return ok(undefined);
  }

  send(order: OrderId, fence: number, now: number): Result<void, Code> {
    const sends = (this.#orders.get(order)?.sends ?? 0) + 1;
    return this.#step(order, { type: 'send' }, { fence, sends, at: now });
  }

  lose(order: OrderId, message: string, now: number): Result<void, Code> {
    return this.#step(order, { type: 'lose' }, { message, at: now });
  }

  /** Records the reply to an order. Later replies are ignored. */
  answer(order: OrderId, accepted: boolean, message: string, now: number): Result<void, Code> {
    if (this.#orders.get(order)?.step === 'answered') return ok(undefined);
    const answered = this.#step(order, { type: 'answer' }, { accepted, message, at: now });
    this.#pruneAnswered();
    return answered;
  }

  restore(orders: readonly Order[]): void {
    this.#orders.clear();
    for (const order of orders) this.#orders.set(order.order, order);
  }

  #step(id: OrderId, event: OrderEvent, change: Partial<Order>): Result<void, Code> {
    const order = this.#orders.get(id);
    const step = order && nextStep(order.step, event);
    if (!order || !step) return err(ledgerCodes.orderUnknown);
    this.#orders.set(id, { ...order, ...change, step });
    return ok(undefined);
  }

  #pruneAnswered(): void {
    const answered = this.all.filter(({ step }) => step === 'answered');
    const surplus = answered.slice(0, Math.max(0, answered.length - MAX_ANSWERED));
    for (const { order } of surplus) this.#orders.delete(order);
  }
}
