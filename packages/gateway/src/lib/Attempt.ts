import { request as sendRequest, type ClientRequest, type IncomingMessage } from 'node:http';
import type { EventEmitter } from 'node:events';
import type { Socket } from 'node:net';
import type { Timer } from '@berylwood/base';
import { splitAddress } from '@berylwood/link';
import type { Endpoint } from './Endpoint';
import { usableIdleMs } from './createEndpointAgent';
import { FaultBoundary } from './FaultBoundary';
import type { FaultLog } from './FaultLog';
import { detectReset } from './detectReset';
import type { AttemptId, SoftwareVersion } from './ids';
import { CONNECT_TIMEOUT_MS } from './probeConnection';
import { readResponseHead, type ResponseHead } from './readResponseHead';
import { RESPONSE_LIMITS } from './responseLimits';
import type { Wire } from './Wire';

/** A request as it is sent to an endpoint. @internal */
export interface OutgoingRequest {
  readonly method: string;
  /** Path and query, unchanged. */
  readonly target: string;
  readonly headers: string[];
  readonly body: Buffer;
  readonly attempt: AttemptId | undefined;
  /** Prompt tokens that the endpoint is expected to prefill. */
  readonly promptTokens: number;
  /** 0 is the most urgent. */
  readonly rank: number;
}

/**
 * Outcome of an attempt: `unsent` and `refused` prove that it has not run; after `broken` it may have
 * run.
 * @internal
 */
export type AttemptEnd =
  | { readonly type: 'complete' }
  | { readonly type: 'unsent'; readonly reason: string }
  | { readonly type: 'refused'; readonly head: ResponseHead }
  | {
      readonly type: 'broken';
      readonly reason: string;
      /** Whether the endpoint or the network ended the connection, not this instance. */
      readonly isConnectionLost: boolean;
    };

/** Receives the response of one attempt. @internal */
export interface AttemptListener {
  /** Called once with the head of the response, unless the endpoint rejected the request. */
  onHead(head: ResponseHead): void;
  /** Called with each part of the body; returning false pauses the response until `resume`. */
  onData(chunk: Buffer): boolean;
  /** Called exactly once, unless the attempt is cancelled. */
  onEnd(end: AttemptEnd): void;
}

/** One attempt to have a request served by one endpoint. @internal */
export class Attempt {
  readonly endpoint: Endpoint;

  /** Software version of the endpoint when the attempt was started. */
  readonly softwareVersion: SoftwareVersion | undefined;

  readonly startedAt: number;

  /** Prompt tokens that the endpoint is expected to prefill. */
  readonly promptTokens: number;

  /** Limit that the endpoint was known to state, in requests per second; undefined without one. */
  readonly limitPerS: number | undefined;

  readonly #wire: Wire;

  readonly #outgoing: OutgoingRequest;

  readonly #listener: AttemptListener;

  readonly #request: ClientRequest & { idleMs?: number };

  readonly #timer: Timer;

  /** Ends the attempt as broken if what the endpoint sends makes a handler throw. */
  readonly #boundary: FaultBoundary;

  #response: IncomingMessage | undefined;

  #connectTimeout: Disposable | undefined;

  /** Whether bytes may have been sent to the endpoint. */
  #isSent = false;

  /** Prompt tokens whose prefill has not finished as far as is known. */
  #pendingPrefillTokens: number;

  #isFinished = false;

  constructor(
    endpoint: Endpoint,
    outgoing: OutgoingRequest,
    listener: AttemptListener,
    parts: { readonly wire: Wire; readonly timer: Timer; readonly faults: FaultLog },
  ) {
    this.endpoint = endpoint;
    this.softwareVersion = endpoint.listed.softwareVersion;
    this.#outgoing = outgoing;
    this.#listener = listener;
    this.#wire = parts.wire;
    this.#timer = parts.timer;
    this.startedAt = parts.timer.now();
    const { requestsPerS } = endpoint.statements;
    this.limitPerS = requestsPerS < Infinity ? requestsPerS : undefined;
    this.promptTokens = outgoing.promptTokens;
    this.#pendingPrefillTokens = outgoing.promptTokens;
    this.#boundary = new FaultBoundary((error) => {
      parts.faults.record('attempt', error, {
        request: outgoing.attempt,
        endpoint: endpoint.listed.id,
      });
      this.abort(`unexpected exception: ${String(error)}`);
    });
    const { host, port } = splitAddress(endpoint.listed.address);
    const { method, target, headers, body } = outgoing;
    this.#request = sendRequest({
      host,
      port,
      method,
      path: target,
      headers: headers as unknown as Record<string, string>,
      agent: endpoint.agent,
      setHost: false,
    });
    endpoint.attemptStarted();
    endpoint.queue(outgoing.rank, this.#pendingPrefillTokens);
    this.#on(this.#request, 'socket', (socket: Socket) => this.#onSocket(socket));
    this.#on(this.#request, 'response', (answer: IncomingMessage) => this.#onResponse(answer));
    this.#on(this.#request, 'error', (error: Error) => this.#onError(error));
    this.#on(this.#request, 'close', () => {
      if (!this.#response) this.#endLost('closed without a response');
    });
    this.#request.end(body);
  }

  #on<Arguments extends unknown[]>(
    emitter: EventEmitter,
    event: string,
    handler: (...args: Arguments) => void,
  ): void {
    emitter.on(event, this.#boundary.wrap(handler));
  }

  /** Whether the endpoint may have received bytes of the request. */
  get isSent(): boolean {
    return this.#isSent;
  }

  /** Records that the endpoint has finished the prefill. */
  prefillFinished(): void {
    this.endpoint.queue(this.#outgoing.rank, -this.#pendingPrefillTokens);
    this.#pendingPrefillTokens = 0;
  }

  /** Cancels the attempt without calling the listener, and closes its connection. */
  cancel(): void {
    if (this.#isFinished) return;
    this.#finish();
    this.endpoint.abandoned();
    this.#request.destroy();
  }

  /** Ends the attempt as `broken` because of a fault of its endpoint, and closes its connection. */
  abort(reason: string): void {
    this.#end({ type: 'broken', reason, isConnectionLost: false });
    this.#request.destroy();
  }

  resume(): void {
    this.#response?.resume();
  }

  #onSocket(socket: Socket): void {
    this.#limitHead(socket);
    if (!socket.connecting) {
      this.#isSent = true;
      return;
    }
    socket.setNoDelay(true);
    this.#connectTimeout = this.#timer.after(CONNECT_TIMEOUT_MS, () => {
      this.#end({ type: 'unsent', reason: 'connect timeout' });
      this.#request.destroy();
    });
    socket.once('connect', () => {
      this.#connectTimeout?.[Symbol.dispose]();
      this.#isSent = true;
    });
  }

  /** Ends the attempt if the endpoint sends bytes without end before the head of the response. */
  #limitHead(socket: Socket): void {
    let bytes = 0;
    const onData = (chunk: Buffer): void => {
      bytes += chunk.length;
      if (bytes <= RESPONSE_LIMITS.maxHeadBytes) return;
      socket.off('data', onData);
      if (!this.#response) this.abort(`no head within ${bytes} bytes`);
    };
    socket.on('data', onData);
    this.#request.once('response', () => socket.off('data', onData));
    this.#request.once('close', () => socket.off('data', onData));
  }

  #onResponse(answer: IncomingMessage): void {
    if (this.#isFinished) {
      answer.destroy();
      return;
    }
    this.endpoint.seen();
    const read = readResponseHead(this.#wire, this.#outgoing, answer);
    if (read.isErr()) {
      this.abort(read.error);
      return;
    }
    const head = read.value;
    const { metadata, endsWithConnection } = head;
    this.#response = answer;
    this.#request.idleMs = metadata.closesConnection ? 0 : usableIdleMs(metadata.keepAliveMs);
    if (metadata.load) this.endpoint.observeLoad(metadata.load);
    const { conditions } = metadata;
    this.endpoint.statements.observe(conditions, this.#outgoing.attempt, this.startedAt);
    if (metadata.isNotRun || metadata.isMisdirected) {
      this.#discardBody(answer);
      this.#end({ type: 'refused', head });
      return;
    }
    this.#listener.onHead(head);
    this.#on(answer, 'data', (chunk: Buffer) => {
      this.endpoint.seen();
      if (this.#isFinished) return;
      if (!this.#listener.onData(chunk)) answer.pause();
    });
    const { socket } = answer;
    const wasReset = detectReset(answer);
    this.#on(answer, 'end', () => {
      // The parser also treats a connection reset as the end of a response without a length.
      const hasEnded = socket.readableEnded && !wasReset();
      const isComplete = answer.complete && (!endsWithConnection || hasEnded);
      if (isComplete) this.#end({ type: 'complete' });
      else this.#endLost('answer cut off');
    });
    this.#on(answer, 'error', (error: Error) => this.#endLost(String(error)));
    this.#on(answer, 'close', () => this.#endLost('answer cut off'));
  }

  /** Reads the body of a rejection to its end, so that the connection can be reused, but not for long. */
  #discardBody(answer: IncomingMessage): void {
    let bytes = 0;
    const timeout = this.#timer.after(RESPONSE_LIMITS.maxDiscardMs, () => this.#request.destroy());
    answer.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes > RESPONSE_LIMITS.maxDiscardedBytes) this.#request.destroy();
    });
    answer.on('error', (error) => {
      // The head has settled the attempt; only the connection is lost.
      this.#request.destroy(error);
    });
    answer.once('close', () => timeout[Symbol.dispose]());
  }

  #onError(error: Error): void {
    // Bytes after a complete response break the connection, but its end is still to be reported.
    if (this.#response?.complete) return;
    const reason = (error as NodeJS.ErrnoException).code ?? error.message;
    if (this.#isSent) this.#endLost(reason);
    else this.#end({ type: 'unsent', reason });
  }

  #endLost(reason: string): void {
    this.#end({ type: 'broken', reason, isConnectionLost: true });
  }

  #end(end: AttemptEnd): void {
    if (this.#isFinished) return;
    this.#finish();
    if (end.type === 'unsent') this.endpoint.unreachable();
    this.#listener.onEnd(end);
  }

  #finish(): void {
    this.#isFinished = true;
    this.#connectTimeout?.[Symbol.dispose]();
    this.prefillFinished();
    this.endpoint.attemptFinished();
  }
}
