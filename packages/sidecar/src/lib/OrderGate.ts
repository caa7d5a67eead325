import type { Journal } from '@berylwood/base';
import type { EndpointOrder, Subscription } from '@berylwood/feed';
import type { OrderId } from '@berylwood/schema';
import type { Endpoint } from './Endpoint';
import { sidecarEvents } from './events';

/** What the gate needs of the subscription. */
type Group = Pick<Subscription, 'isFresh' | 'state' | 'call'>;

interface OrderAnswer {
  readonly accepted: boolean;
  readonly message: string;
}

/** Orders remembered, so that a repeated one is not passed on again. */
const KEPT_ORDERS = 1000;

const MAX_MESSAGE = 1024;

/**
 * Passes orders of the control group to the endpoint. It refuses an order with an older fencing
 * number than the greatest known, as some engines do not check, and passes none while it has no
 * proof that the number it knows is the present one.
 * @internal
 */
export class OrderGate {
  readonly #group: Group;

  readonly #endpoint: Endpoint;

  readonly #journal: Journal;

  readonly #answers = new Map<OrderId, Promise<OrderAnswer>>();

  #fence = 0;

  constructor(group: Group, endpoint: Endpoint, journal: Journal) {
    this.#group = group;
    this.#endpoint = endpoint;
    this.#journal = journal;
  }

  /** Takes an order and tells the group what became of it. */
  async take(order: EndpointOrder): Promise<void> {
    const { isFresh, state } = this.#group;
    // Without the present number the order can not be judged; the leader sends it again.
    if (!isFresh) return;
    this.#fence = Math.max(this.#fence, state.fence);
    const answer = await this.#answerTo(order);
    await this.#group.call({ type: 'orderAnswer', order: order.order, ...answer });
  }

  #answerTo(order: EndpointOrder): Promise<OrderAnswer> {
    const known = this.#answers.get(order.order);
    if (known) return known;
    if (order.fence < this.#fence) return Promise.resolve(this.#refuse(order));
    this.#fence = order.fence;
    const answer = this.#pass(order);
    this.#answers.set(order.order, answer);
    const [oldest] = this.#answers.keys();
    if (this.#answers.size > KEPT_ORDERS && oldest) this.#answers.delete(oldest);
    return answer;
  }

  #refuse({ order, fence }: EndpointOrder): OrderAnswer {
    this.#journal.record(sidecarEvents.orderRefused, { order, fence, known: this.#fence });
    return { accepted: false, message: `the fencing number ${fence} is older than ${this.#fence}` };
  }

  async #pass({ order, fence, action }: EndpointOrder): Promise<OrderAnswer> {
    this.#journal.record(sidecarEvents.orderPassed, { order, fence, type: action.type });
    try {
      const { accepted, message } = await this.#endpoint.order(order, fence, action);
      return { accepted, message: message.slice(0, MAX_MESSAGE) };
    } catch (error) {
      return { accepted: false, message: String(error).slice(0, MAX_MESSAGE) };
    }
  }
}
