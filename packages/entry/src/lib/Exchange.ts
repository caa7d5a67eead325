import type { ServerResponse } from 'node:http';
import { Failure, Lifecycle, findCode, unreachable, type NotRun } from '@berylwood/base';
import {
  createAttemptId,
  requestCodes,
  type AttemptId,
  type EndpointId,
  type IncarnationId,
  type SidecarMessage,
} from '@berylwood/schema';
import { ResponseWriter } from './ResponseWriter';
import type { Order } from './classify';
import type { SidecarLink } from './EndpointTable';
import { exchangeTable, type ExchangeEvent, type ExchangeNote } from './exchangeMachine';

export type AttemptMessage = Exclude<SidecarMessage, { type: 'hello' | 'load' | 'cache' }>;

/** Where an attempt runs. @internal */
export interface EndpointConnection {
  readonly endpoint: EndpointId;
  readonly incarnation: IncarnationId;
  readonly link: SidecarLink;
}

/** What is known when an attempt has ended without an answer. @internal */
export interface AttemptFailure {
  readonly failure: Failure;
  /** The endpoint crashed meanwhile. */
  readonly crashed: boolean;
}

/** Joins what is known of two attempts: one that ran outweighs one that did not. */
function combineNotRun(a: NotRun, b: NotRun): NotRun {
  if (a === false || b === false) return false;
  return a === 'unknown' || b === 'unknown' ? 'unknown' : true;
}

/** A request of a caller and its present attempt. @internal */
export class Exchange {
  /** Called when the attempt has ended and the request has not: retry, or fail. */
  onAttemptFailed: (setback: AttemptFailure) => void = () => {};

  /** Called once when the exchange has ended in whatever way. */
  onEnd: (outcome: 'completed' | 'failed', failure?: Failure) => void = () => {};

  onProgress: (tokens: number) => void = () => {};

  /** Called after each change of state. */
  onState: () => void = () => {};

  order: Order;

  readonly response: ServerResponse;

  readonly lifecycle = new Lifecycle<ExchangeEvent, ExchangeNote>(exchangeTable);

  readonly writer: ResponseWriter;

  attempt: AttemptId = createAttemptId();

  connection: EndpointConnection | undefined;

  /** A claim for the attempt is committed, or may be. */
  hasClaim = false;

  /** Attempts that were dispatched. */
  attempts = 0;

  /** Endpoints that crashed while they ran the request. */
  crashes = 0;

  tokens = 0;

  /** Timeout of the present state. */
  timeout: Disposable | undefined;

  /** What is known of the attempts before this one. */
  #earlierNotRun: NotRun = true;

  constructor(order: Order, response: ServerResponse) {
    this.order = order;
    this.response = response;
    this.writer = new ResponseWriter(response);
    this.writer.onConsumed = (offset) => {
      this.connection?.link.send({ type: 'ack', attempt: this.attempt, offset });
    };
  }

  get hasEnded(): boolean {
    return this.lifecycle.isFinal;
  }

  /** What the caller may be told now of the execution of its request. */
  get notRun(): NotRun {
    return combineNotRun(this.#earlierNotRun, this.lifecycle.note.notRun);
  }

  /** Moves to the next state; false when the present one does not take the event. */
  send(event: ExchangeEvent): boolean {
    const { note } = this.lifecycle;
    if (!this.lifecycle.send(event)) return false;
    if (event === 'retry') this.#earlierNotRun = combineNotRun(this.#earlierNotRun, note.notRun);
    this.onState();
    return true;
  }

  /** Starts an attempt over a link. */
  dispatch(connection: EndpointConnection, now: number): void {
    const { order } = this;
    const { job } = order;
    this.connection = connection;
    this.attempts += 1;
    if (!this.send('dispatch')) return;
    connection.link.send(
      {
        type: 'dispatch',
        attempt: this.attempt,
        request: order.request,
        workspace: job.workspace,
        class: job.class,
        tier: job.tier,
        incarnation: connection.incarnation,
        idempotent: order.idempotent,
        deadlineMs: Math.max(0, job.expiresAt - now),
        estimatedTokens: job.promptTokens + job.answerTokens,
        promptTokens: job.promptTokens,
        method: order.method,
        path: order.path,
        headers: order.headers,
        body: order.body,
        fingerprint: order.fingerprint,
        model: order.model,
        claim: order.idempotencyKey,
        isSuspect: job.isSuspect,
      },
      true,
    );
  }

  /** A granted attempt that could not be sent may go elsewhere. */
  defer(failure: Failure): void {
    if (this.send('refused')) this.onAttemptFailed({ failure, crashed: false });
  }

  /** Answers with the stored outcome of an earlier request. */
  replay(status: number, headers: Record<string, string>, body: Uint8Array): void {
    if (!this.send('replay')) return;
    this.writer.head(status, { ...headers, 'content-length': String(body.length) });
    this.writer.data(0, body);
    this.writer.end();
    this.onEnd('completed');
  }

  /** Says from now on that an earlier attempt may have run. */
  markPossiblyRun(): void {
    this.#earlierNotRun = combineNotRun(this.#earlierNotRun, 'unknown');
  }

  /** The link of the attempt is gone. */
  detach(link: SidecarLink): void {
    if (this.connection?.link === link) this.send('linkLost');
  }

  /** A new link to the endpoint is open; another incarnation does not know the attempt. */
  attach(connection: EndpointConnection): void {
    if (!this.connection || this.connection.endpoint !== connection.endpoint) return;
    const { state } = this.lifecycle;
    if (connection.incarnation !== this.connection.incarnation) {
      if (this.send('sidecarGone')) this.#failAttempt(requestCodes.outcomeUnknown.meaning);
      return;
    }
    if (!this.send('linkOpened')) return;
    this.connection = connection;
    if (state === 'detached') connection.link.send({ type: 'revoke', attempt: this.attempt }, true);
    else this.#requestResume();
  }

  /** No news within the time of the present state. */
  expire(): void {
    if (this.send('expire')) this.#failAttempt('the sidecar did not answer in time');
  }

  /** Takes a message on the present attempt. */
  receive(message: AttemptMessage): void {
    switch (message.type) {
      case 'accepted':
        this.send('accepted');
        break;
      case 'refused':
      case 'failed':
        this.#attemptFailed(message);
        break;
      case 'revoked':
        this.#revoked(message.outcome);
        break;
      case 'head':
        if (this.send('head')) this.writer.head(message.status, message.headers);
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

  /** Makes the request ready to be scheduled again, as another attempt when this one has run. */
  retry(order: Order): void {
    const mayHaveRun = this.lifecycle.state !== 'deferred';
    this.order = order;
    this.connection = undefined;
    // A claim allows one attempt in all, so it goes elsewhere under the same id when it never ran.
    if (mayHaveRun || !this.hasClaim) this.attempt = createAttemptId();
    this.send('retry');
  }

  /** Ends the exchange with an error. */
  fail(failure: Failure): void {
    if (this.hasEnded) return;
    const { code, message, retryAfterMs } = failure;
    // A claim of another request with the same key may have run.
    const notRun = code.notRun === true ? this.notRun : combineNotRun(this.notRun, code.notRun);
    const callerFailure = new Failure(code, message, { retryAfterMs, notRun });
    this.#endAttempt();
    this.send('fail');
    this.writer.fail(callerFailure);
    this.onEnd('failed', callerFailure);
  }

  /** The caller is gone: the attempt is cancelled. */
  abandon(): void {
    if (this.hasEnded) return;
    this.#endAttempt();
    this.send('cancel');
  }

  #relay(message: Extract<SidecarMessage, { type: 'data' }>): void {
    if (!this.writer.data(message.offset, message.bytes)) return;
    this.tokens = message.tokens;
    this.onProgress(message.tokens);
  }

  #complete(length: number): void {
    if (length !== this.writer.received || !this.send('end')) return;
    this.writer.end();
    this.#release();
    this.onEnd('completed');
  }

  #revoked(outcome: 'never' | 'running' | 'ran' | 'unknown'): void {
    if (outcome === 'never') {
      if (this.send('never')) this.#failAttempt('the attempt was revoked before it ran');
    } else if (outcome === 'unknown') {
      if (this.send('lost')) this.#failAttempt(requestCodes.outcomeUnknown.meaning);
    } else if (this.send('resumed')) this.#requestResume();
  }

  #requestResume(): void {
    const offset = this.writer.received;
    this.connection?.link.send({ type: 'resume', attempt: this.attempt, offset }, true);
  }

  #attemptFailed(message: Extract<SidecarMessage, { type: 'refused' | 'failed' }>): void {
    const { notRun = true, crashed = false } = message.type === 'failed' ? message : {};
    const events = { true: 'refused', unknown: 'lost', false: 'broken' } as const;
    // An answer that has begun has run, whatever the sidecar knows of it now.
    const isAccepted = this.send(events[`${notRun}`]) || this.send('broken');
    if (!isAccepted) return;
    this.#release();
    const code = findCode(message.code) ?? requestCodes.endpointFailed;
    this.onAttemptFailed({ failure: new Failure(code, message.message), crashed });
  }

  #failAttempt(message: string): void {
    const { state } = this.lifecycle;
    const code = state === 'deferred' ? requestCodes.attemptRefused : requestCodes.outcomeUnknown;
    this.onAttemptFailed({ failure: new Failure(code, message), crashed: false });
  }

  /** Work that nobody waits for is cancelled; the sidecar lets calls go on that may not be repeated. */
  #endAttempt(): void {
    if (this.connection) this.connection.link.send({ type: 'cancel', attempt: this.attempt }, true);
  }

  #release(): void {
    this.connection?.link.send({ type: 'release', attempt: this.attempt });
  }
}
