import type { Journal } from '@berylwood/base';
import type { EndpointOrder, Subscription } from '@berylwood/feed';
import type { OrderId } from '@berylwood/schema';
import type { Endpoint } from './Endpoint';
import { sidecarEvents } from './events';

/** Parts of the subscription that the gate uses. */
type ControlGroup = Pick<Subscription, 'isFresh' | 'state' | 'call'>;

interface OrderReply {
  readonly accepted: boolean;
  readonly message: string;
}

/** Number of orders whose replies are kept, so that a repeated order is not forwarded again. */
const MAX_REMEMBERED_ORDERS = 1000;

const MAX_MESSAGE_LENGTH = 1024;

/**
 * Forwards orders of the control group to the endpoint. Rejects an order whose fence is lower than
 * the highest fence received, because some engines do not check it. Forwards nothing without a
 * freshness lease, because the fence of this process may then be outdated.
 * @internal
 */
export class OrderGate {
  readonly #group: ControlGroup;

  readonly #endpoint: Endpoint;

  readonly #journal: Journal;

  readonly #replies = new Map<OrderId, Promise<OrderReply>>();

  #fence = 0;

  constructor(group: ControlGroup, endpoint: Endpoint, journal: Journal) {
    this.#group = group;
    this.#endpoint = endpoint;
    this.#journal = journal;
  }

  /** Forwards or rejects an order and reports the outcome to the control group. */
  async handleOrder(order: EndpointOrder): Promise<void> {
    const { isFresh, state } = this.#group;
    // Without a current fence the order can not be checked. The leader sends it again.
    if (!isFresh) return;
    this.#fence = Math.max(this.#fence, state.fence);
    const answer = await this.#replyTo(order);
    await this.#group.call({ type: 'orderAnswer', order: order.order, ...answer });
  }

  #replyTo(order: EndpointOrder): Promise<OrderReply> {
    const known = this.#replies.get(order.order);
    if (known) return known;
    if (order.fence < this.#fence) return Promise.resolve(this.#reject(order));
    this.#fence = order.fence;
    const answer = this.#forward(order);
    this.#replies.set(order.order, answer);
    const [oldest] = this.#replies.keys();
    if (this.#replies.size > MAX_REMEMBERED_ORDERS && oldest) this.#replies.delete(oldest);
    return answer;
  }

  #reject({ order, fence }: EndpointOrder): OrderReply {
    this.#journal.record(sidecarEvents.orderRefused, { order, fence, known: this.#fence });
    return { accepted: false, message: `the fencing number ${fence} is older than ${this.#fence}` };
  }

  async #forward({ order, fence, action }: EndpointOrder): Promise<OrderReply> {
    this.#journal.record(sidecarEvents.orderPassed, { order, fence, type: action.type });
    try {
      const { accepted, message } = await this.#endpoint.order(order, fence, action);
      return { accepted, message: message.slice(0, MAX_MESSAGE_LENGTH) };
    } catch (error) {
      return { accepted: false, message: String(error).slice(0, MAX_MESSAGE_LENGTH) };
    }
  }
}
