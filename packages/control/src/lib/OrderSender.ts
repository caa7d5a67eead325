import type { EndpointAction, PlatformAction, OrderId } from '@berylwood/schema';
import type { Order } from '@berylwood/ledger';
import { controlEvents } from './events';
import type { MemberTable } from './MemberTable';
import { REQUEST_DEADLINE_MS } from './PlatformClient';
import { PlatformTask, type PlatformTaskOptions } from './PlatformTask';
import type { Publisher } from './Publisher';
import { selectOrders } from './selectOrders';

const INTERVAL_MS = 50;

/** Delay before an order with an unknown outcome is resent under the same id. */
const RESEND_DELAY_MS = 500;

/** Time to wait for a sidecar's reply, after which the outcome counts as unknown. */
const SIDECAR_REPLY_TIMEOUT_MS = 2000;

/** Lease time that must remain when an order is sent, so that the request ends within the lease. */
const MIN_LEASE_REMAINING_MS = REQUEST_DEADLINE_MS;

/** Options of the order sender. @public */
export interface OrderSenderOptions extends PlatformTaskOptions {
  readonly publisher: Publisher;
  readonly members: MemberTable;
}

function isForPlatform(action: Order['action']): action is PlatformAction {
  return action.type === 'start' || action.type === 'stop';
}

/**
 * Sends the recorded orders to the platform and to the sidecars of engines while this replica leads
 * under its lease. Before each attempt, a record of it is committed to the log. An order without an
 * answer is resent with the same id and bytes and never replaced by a new order.
 * @public
 */
export class OrderSender extends PlatformTask {
  readonly #publisher: Publisher;

  readonly #members: MemberTable;

  /** Orders that an earlier leader sent and that have no answer, collected in the first step. */
  #inherited: ReadonlySet<OrderId> = new Set();

  /** Fencing number for which the inherited orders were collected. */
  #fence = 0;

  constructor(options: OrderSenderOptions) {
    super(options, INTERVAL_MS);
    this.#publisher = options.publisher;
    this.#members = options.members;
  }

  protected override async step(): Promise<void> {
    const { ledger, leadership } = this.options;
    this.#members.setStoppedIncarnations(this.#stoppedIncarnations);
    const { open } = ledger.orders;
    if (this.#fence !== leadership.fence) {
      this.#fence = leadership.fence;
      const sent = open.filter(({ step }) => step !== 'intended');
      this.#inherited = new Set(sent.map(({ order }) => order));
    }
    for (const order of selectOrders(open, this.#inherited)) {
      if (!leadership.mayAct(MIN_LEASE_REMAINING_MS)) return;
      if (isForPlatform(order.action)) await this.#sendToPlatform(order, order.action);
      else await this.#sendToSidecar(order, order.action);
    }
  }

  get #stoppedIncarnations() {
    return this.options.ledger.orders.all.flatMap(({ action, step, accepted }) => {
      const isRejected = step === 'answered' && !accepted;
      return action.type === 'stop' && action.incarnation && !isRejected
        ? [action.incarnation]
        : [];
    });
  }

  /** Whether the order may be sent now. An order in flight is not resent before its timeout. */
  #isDue({ step, at, fence }: Order, replyTimeoutMs: number): boolean {
    const { timer, leadership } = this.options;
    const age = timer.wall() - at;
    if (step === 'unknown') return age >= RESEND_DELAY_MS;
    return step === 'intended' || fence !== leadership.fence || age >= replyTimeoutMs;
  }

  async #sendToPlatform(order: Order, action: PlatformAction): Promise<void> {
    const { platform, leadership } = this.options;
    if (!platform || !this.#isDue(order, REQUEST_DEADLINE_MS)) return;
    if (!(await this.#recordSending(order.order))) return;
    const answer = await platform.send({
      path: '/orders',
      body: JSON.stringify({ order: order.order, ...action }),
      id: order.order,
      fence: leadership.fence,
      mayWrite: () => leadership.mayAct(MIN_LEASE_REMAINING_MS),
    });
    await answer.match(
      ({ status, body }) => this.#recordAnswer(order.order, status, body),
      ({ message }) => this.#recordUnknownOutcome(order.order, message),
    );
  }

  async #sendToSidecar(order: Order, action: EndpointAction): Promise<void> {
    if (!this.#isDue(order, SIDECAR_REPLY_TIMEOUT_MS)) return;
    const source = this.#members.sourceOf(action.endpoint);
    const subscriber = source === undefined ? undefined : this.#publisher.findProcess(source);
    if (!subscriber) return;
    if (!(await this.#recordSending(order.order))) return;
    const { leadership } = this.options;
    if (!leadership.mayAct(MIN_LEASE_REMAINING_MS)) return;
    const { fence } = leadership;
    subscriber.link.send({ type: 'order', order: order.order, fence, action });
    subscriber.link.flush();
  }

  async #recordSending(order: OrderId): Promise<boolean> {
    const { proposer, timer, leadership, journal } = this.options;
    const { fence } = leadership;
    const at = timer.wall();
    const recorded = await proposer.propose({ type: 'sendOrder', at, order, fence });
    if (recorded.isErr()) return false;
    journal.record(controlEvents.orderSent, { order, fence });
    return leadership.mayAct(MIN_LEASE_REMAINING_MS);
  }

  async #recordAnswer(order: OrderId, status: number, message: string): Promise<void> {
    const { proposer, timer, journal } = this.options;
    // After a server error of the platform the outcome of the order is unknown.
    if (status >= 500) {
      await this.#recordUnknownOutcome(order, `status ${status}`);
      return;
    }
    const accepted = status < 300;
    const at = timer.wall();
    await proposer.propose({ type: 'answerOrder', at, order, accepted, message });
    journal.record(controlEvents.orderAnswered, { order, status });
  }

  async #recordUnknownOutcome(order: OrderId, reason: string): Promise<void> {
    const { proposer, timer, journal } = this.options;
    await proposer.propose({ type: 'loseOrder', at: timer.wall(), order, reason });
    journal.record(controlEvents.orderUnknown, { order, reason });
  }
}
