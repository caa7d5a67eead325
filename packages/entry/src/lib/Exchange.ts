import type { ServerResponse } from 'node:http';
import { Failure, findCode, required, unreachable } from '@berylwood/base';
import {
  createAttemptId,
  type AttemptId,
  type EndpointId,
  type SidecarMessage,
} from '@berylwood/schema';
import type { Order } from './classify';
import type { SidecarLink } from './EndpointTable';
import { sendFailure } from './sendFailure';

type AttemptMessage = Exclude<SidecarMessage, { type: 'hello' | 'load' | 'cache' }>;

/** A request of a caller and its present attempt. @internal */
export class Exchange {
  readonly order: Order;

  readonly response: ServerResponse;

  /** Called once when the exchange has ended in whatever way. */
  onEnd: (outcome: 'completed' | 'failed', failure?: Failure) => void = () => {};

  onProgress: (tokens: number) => void = () => {};

  attempt: AttemptId | undefined;

  endpoint: EndpointId | undefined;

  tokens = 0;

  #link: SidecarLink | undefined;

  #received = 0;

  #hasEnded = false;

  constructor(order: Order, response: ServerResponse) {
    this.order = order;
    this.response = response;
  }

  get hasEnded(): boolean {
    return this.#hasEnded;
  }

  /** Starts an attempt over a link. */
  dispatch(endpoint: EndpointId, incarnation: string, link: SidecarLink, now: number): void {
    const { order } = this;
    this.attempt = createAttemptId();
    this.endpoint = endpoint;
    this.#link = link;
    this.#received = 0;
    link.send({
      type: 'dispatch',
      attempt: this.attempt,
      request: order.request,
      workspace: order.job.workspace,
      class: order.job.class,
      tier: order.job.tier,
      incarnation: incarnation as never,
      idempotent: order.idempotent,
      deadlineMs: order.job.expiresAt - now,
      estimatedTokens: order.job.promptTokens + order.job.answerTokens,
      method: order.method,
      path: order.path,
      headers: order.headers,
      body: order.body,
      fingerprint: order.fingerprint,
      model: order.model,
    });
  }

  /** Asks for the rest of the answer over a new link. */
  resume(link: SidecarLink): void {
    if (!this.attempt) return;
    this.#link = link;
    link.send({ type: 'resume', attempt: this.attempt, offset: this.#received });
  }

  receive(message: AttemptMessage): void {
    if (message.attempt !== this.attempt || this.#hasEnded) return;
    switch (message.type) {
      case 'accepted':
      case 'revoked':
        break;
      case 'refused':
      case 'failed':
        this.#fail(message);
        break;
      case 'head':
        if (!this.response.headersSent) this.response.writeHead(message.status, message.headers);
        break;
      case 'data':
        this.#relay(message);
        break;
      case 'end':
        this.#complete(message.offset);
        break;
      default:
        unreachable(message);
    }
  }

  /** Ends the exchange with an error. */
  fail(failure: Failure): void {
    if (this.#hasEnded) return;
    this.#hasEnded = true;
    sendFailure(this.response, failure);
    this.onEnd('failed', failure);
  }

  /** The caller is gone: the attempt is cancelled. */
  abandon(): void {
    if (this.#hasEnded) return;
    this.#hasEnded = true;
    if (this.attempt) this.#link?.send({ type: 'cancel', attempt: this.attempt });
  }

  #relay(message: Extract<SidecarMessage, { type: 'data' }>): void {
    const end = message.offset + message.bytes.length;
    if (message.offset > this.#received || end <= this.#received) return;
    const bytes = message.bytes.subarray(this.#received - message.offset);
    this.#received = end;
    this.tokens = message.tokens;
    this.onProgress(message.tokens);
    const acknowledge = (): void => {
      this.#link?.send({ type: 'ack', attempt: message.attempt, offset: end });
    };
    if (this.response.write(bytes)) acknowledge();
    else this.response.once('drain', acknowledge);
  }

  #complete(length: number): void {
    if (length !== this.#received) return;
    this.#hasEnded = true;
    this.response.end();
    this.#release();
    this.onEnd('completed');
  }

  #fail(message: Extract<SidecarMessage, { type: 'refused' | 'failed' }>): void {
    const code = required(findCode(message.code), 'result code');
    const notRun = message.type === 'refused' ? true : message.notRun;
    if (message.type === 'failed') this.#release();
    this.fail(new Failure(code, message.message, { notRun }));
  }

  #release(): void {
    if (this.attempt) this.#link?.send({ type: 'release', attempt: this.attempt });
  }
}
