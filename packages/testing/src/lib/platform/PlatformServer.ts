import { createHash } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { Random, SystemTimer, type Timer } from '@berylwood/base';
import { OrderDesk, type Order } from '../engine/OrderDesk';
import { HttpFault, StandIn, parseJson, sendJson } from '../StandIn';
import { InstanceList, type Instance } from './InstanceList';
import { WeightStore } from './WeightStore';

/** Options of a stand-in of the platform. @public */
export interface PlatformOptions {
  readonly listen: string;
  /** Whether orders with an old fencing number are refused; not by default. */
  readonly checksFence?: boolean;
  /** Longest delay of an answer to an order or a report, in milliseconds; 0 by default. */
  readonly answerDelayMs?: number;
  /** Share of the answers to orders and reports that are lost; none by default. */
  readonly answerLoss?: number;
  /** Share of the orders that are taken twice; none by default. */
  readonly orderRepeat?: number;
  /** Lag of the list of instances, in milliseconds; 2000 by default. */
  readonly listLagMs?: number;
  /** Rate of the weight store; 1 GB a second by default. */
  readonly weightBytesPerSecond?: number;
  /** File that the history is appended to. */
  readonly history?: string;
  readonly seed?: number;
  readonly timer?: Timer;
}

/** Headers that name an order or window and the fencing number of its sender. */
const ID_HEADER = 'berylwood-request';
const FENCE_HEADER = 'berylwood-fence';

const DEFAULT_LIST_LAG_MS = 2000;
const DEFAULT_WEIGHT_RATE = 1_000_000_000;

/** Stand-in of the platform: endpoint orders, usage intake, instances and weights. @public */
export class PlatformServer extends StandIn {
  readonly name = 'platform';

  readonly #options: PlatformOptions;

  readonly #timer: Timer;

  readonly #random: Random;

  readonly #orders: OrderDesk;

  readonly #instances: InstanceList;

  readonly #weights: WeightStore;

  constructor(options: PlatformOptions) {
    super(options.listen, options.history);
    this.#options = options;
    this.#timer = options.timer ?? new SystemTimer();
    this.#random = new Random(options.seed ?? 1);
    this.#orders = new OrderDesk(this.history, options.checksFence ?? false);
    const { listLagMs = DEFAULT_LIST_LAG_MS, weightBytesPerSecond = DEFAULT_WEIGHT_RATE } = options;
    this.#instances = new InstanceList(this.#timer, listLagMs);
    this.#weights = new WeightStore(this.#timer, weightBytesPerSecond);
  }

  protected override async serve(
    request: IncomingMessage,
    response: ServerResponse,
    url: URL,
    body: Buffer,
    headAt: number,
  ): Promise<void> {
    switch (`${request.method} ${url.pathname}`) {
      case 'POST /orders':
        return this.#order(response, { ...readOrder(request, body), headAt });
      case 'POST /usage':
        return this.#takeUsage(request, response, body, headAt);
      case 'GET /instances':
        return sendJson(response, 200, { instances: this.#instances.instances });
      case 'POST /instances':
        this.#instances.set(parseJson<Instance>(body));
        return sendJson(response, 200, {});
      case 'DELETE /instances':
        this.#instances.remove(url.searchParams.get('endpoint') ?? '');
        return sendJson(response, 200, {});
      case 'GET /weights':
        return this.#sendWeights(response, url);
      default:
        throw new HttpFault(404, 'no such path');
    }
  }

  async #order(response: ServerResponse, order: Order): Promise<void> {
    this.#orders.take(order);
    const { orderRepeat = 0 } = this.#options;
    if (this.#random.next() < orderRepeat) this.#orders.take({ ...order, repeated: true });
    await this.#acknowledge(response);
  }

  async #takeUsage(
    request: IncomingMessage,
    response: ServerResponse,
    body: Buffer,
    headAt: number,
  ): Promise<void> {
    const window = request.headers[ID_HEADER];
    const fence = Number(request.headers[FENCE_HEADER]);
    if (!window || Number.isNaN(fence)) throw new HttpFault(400, 'no window or no fence');
    const digest = createHash('sha256').update(body).digest('hex');
    this.history.add('usage', { window, fence, digest, headAt, body: body.toString('utf8') });
    await this.#acknowledge(response);
  }

  /** Answers late, or never, as the options say; what was taken stays taken. */
  async #acknowledge(response: ServerResponse): Promise<void> {
    const { answerDelayMs = 0, answerLoss = 0 } = this.#options;
    if (answerDelayMs > 0) await this.#timer.sleep(this.#random.between(0, answerDelayMs));
    if (this.#random.next() < answerLoss) response.destroy();
    else sendJson(response, 200, { accepted: true });
  }

  async #sendWeights(response: ServerResponse, url: URL): Promise<void> {
    const bytes = Number(url.searchParams.get('bytes') ?? 0);
    const model = url.searchParams.get('model');
    this.history.add('weights', { model, bytes });
    await this.#weights.transfer(bytes);
    sendJson(response, 200, { model, bytes });
  }
}

/** An order with the identity and fence from its headers. */
function readOrder({ headers }: IncomingMessage, body: Buffer): Order {
  const fields = parseJson<Record<string, unknown>>(body);
  return { ...fields, order: String(headers[ID_HEADER]), fence: Number(headers[FENCE_HEADER]) };
}
