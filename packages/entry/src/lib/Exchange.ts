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

/** The incarnation of an endpoint that runs an attempt, and the link to its sidecar. @internal */
export interface EndpointConnection {
  readonly endpoint: EndpointId;
  readonly incarnation: IncarnationId;
  readonly link: SidecarLink;
}

/** Failure of an attempt that ended without a complete response. @internal */
export interface AttemptFailure {
  readonly failure: Failure;
  /** Whether the endpoint crashed during the attempt. */
  readonly crashed: boolean;
}

/** Combines the `notRun` of two attempts: `false` outweighs `unknown`, which outweighs `true`. */
function combineNotRun(a: NotRun, b: NotRun): NotRun {
  if (a === false || b === false) return false;
  return a === 'unknown' || b === 'unknown' ? 'unknown' : true;
}

/** A caller's request and its current attempt. @internal */
export class Exchange {
  /** Called when an attempt has failed; the handler retries or fails the request. */
  onAttemptFailed: (setback: AttemptFailure) => void = () => {};

  /** Called once when the exchange has completed or failed; not after `abandon`. */
  onEnd: (outcome: 'completed' | 'failed', failure?: Failure) => void = () => {};

  onProgress: (tokens: number) => void = () => {};

  /** Called after each state transition. */
  onState: () => void = () => {};

  order: Order;

  readonly response: ServerResponse;

  readonly lifecycle = new Lifecycle<ExchangeEvent, ExchangeNote>(exchangeTable);

  readonly writer: ResponseWriter;

  attempt: AttemptId = createAttemptId();

  connection: EndpointConnection | undefined;

  /** Whether a claim for the attempt is committed or may be. */
  hasClaim = false;

  /** Number of dispatched attempts. */
  attempts = 0;

  /** Number of endpoints that crashed while they ran the request. */
  crashes = 0;

  tokens = 0;

  /** Timeout of the current state. */
  timeout: Disposable | undefined;

  /** Combined `notRun` of the attempts before this one. */
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

  /** The `notRun` that an error would report to the caller now. */
  get notRun(): NotRun {
    return combineNotRun(this.#earlierNotRun, this.lifecycle.note.notRun);
  }

  /** Moves to the next state; returns false if the current state does not accept the event. */
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

  /** Ends an attempt that could not be sent; it may be retried on another endpoint. */
  defer(failure: Failure): void {
    if (this.send('refused')) this.onAttemptFailed({ failure, crashed: false });
  }

  /** Responds with the stored outcome of an earlier request. */
  replay(status: number, headers: Record<string, string>, body: Uint8Array): void {
    if (!this.send('replay')) return;
    this.writer.head(status, { ...headers, 'content-length': String(body.length) });
    this.writer.data(0, body);
    this.writer.end();
    this.onEnd('completed');
  }

  /** Records that an earlier attempt may have run. Errors no longer report `notRun: true`. */
  markPossiblyRun(): void {
    this.#earlierNotRun = combineNotRun(this.#earlierNotRun, 'unknown');
  }

  /** Handles the loss of a link. */
  detach(link: SidecarLink): void {
    if (this.connection?.link === link) this.send('linkLost');
  }

  /**
   * Handles a new link to an endpoint. A detached attempt is revoked, or resumed once its response has
   * started. An attempt of another incarnation has failed.
   */
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

  /** Handles the timeout of the current state. */
  expire(): void {
    if (this.send('expire')) this.#failAttempt('the sidecar did not answer in time');
  }

  /** Handles a message on the current attempt. */
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

  /** Prepares the request to be scheduled again, as a new attempt if this one may have run. */
  retry(order: Order): void {
    const mayHaveRun = this.lifecycle.state !== 'deferred';
    this.order = order;
    this.connection = undefined;
    // A claim allows a single attempt, so a claimed attempt that did not run keeps its id.
    if (mayHaveRun || !this.hasClaim) this.attempt = createAttemptId();
    this.send('retry');
  }

  /** Ends the exchange with an error. */
  fail(failure: Failure): void {
    if (this.hasEnded) return;
    const { code, message, retryAfterMs } = failure;
    // Some codes limit it: another request with the same idempotency key may have run.
    const notRun = code.notRun === true ? this.notRun : combineNotRun(this.notRun, code.notRun);
    const callerFailure = new Failure(code, message, { retryAfterMs, notRun });
    this.#endAttempt();
    this.send('fail');
    this.writer.fail(callerFailure);
    this.onEnd('failed', callerFailure);
  }

  /** Cancels the attempt after the caller has closed its connection. */
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
    // Once its response has started, the attempt has run, whatever the sidecar reports now.
    const isApplied = this.send(events[`${notRun}`]) || this.send('broken');
    if (!isApplied) return;
    this.#release();
    const code = findCode(message.code) ?? requestCodes.endpointFailed;
    this.onAttemptFailed({ failure: new Failure(code, message.message), crashed });
  }

  #failAttempt(message: string): void {
    const { state } = this.lifecycle;
    const code = state === 'deferred' ? requestCodes.attemptRefused : requestCodes.outcomeUnknown;
    this.onAttemptFailed({ failure: new Failure(code, message), crashed: false });
  }

  /** Cancels the attempt. The sidecar still completes calls that must not be repeated. */
  #endAttempt(): void {
    if (this.connection) this.connection.link.send({ type: 'cancel', attempt: this.attempt }, true);
  }

  #release(): void {
    this.connection?.link.send({ type: 'release', attempt: this.attempt });
  }
}
