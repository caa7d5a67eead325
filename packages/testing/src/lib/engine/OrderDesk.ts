import { HttpFault } from '../StandIn';
import type { History } from '../History';

/** An order to an engine or to the platform. @public */
export interface Order {
  /** Fencing number of the process that gives the order. */
  readonly fence: number;
  /** Identity of the order; a resent order keeps it. */
  readonly order: string;
  readonly [field: string]: unknown;
}

/** Takes orders, with or without a check of their fencing number, and records each. @internal */
export class OrderDesk {
  readonly #history: History;

  readonly #checksFence: boolean;

  #fence = 0;

  constructor(history: History, checksFence: boolean) {
    this.#history = history;
    this.#checksFence = checksFence;
  }

  /**
   * Takes an order.
   * @throws HttpFault 409 when the desk checks fences and this one is older than one seen before.
   */
  take(order: Order): void {
    if (!Number.isFinite(order.fence)) throw new HttpFault(400, 'fence: expected a number');
    const refused = this.#checksFence && order.fence < this.#fence;
    this.#fence = Math.max(this.#fence, order.fence);
    this.#history.add('order', { ...order, refused });
    if (refused) throw new HttpFault(409, `the fencing number ${order.fence} is old`);
  }
}
