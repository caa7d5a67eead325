import { Client, type Dispatcher, type Pool } from 'undici';
import type { Dispatch, Work } from '@berylwood/schema';
import { isNotListening, isUnreached } from './connection';
import { CompletionStream } from './CompletionStream';
import { checkStatus } from './checkStatus';
import { createConnector } from './createConnector';
import { EndpointError, type ResponseSink, type EndpointFault } from './Endpoint';
import { describesEventStream, filterResponseHeaders, filterStreamHeaders } from './headers';
import { UsageReader } from './UsageReader';

type EngineResponse = Dispatcher.ResponseData;

/** Time without data after which a stream counts as stalled and is resumed on a new connection. */
const STALL_TIMEOUT_MS = 2000;

/**
 * Upper limit of the stall timeout. The timeout doubles after each resumption without a new token,
 * because the engine itself may be slow.
 */
const MAX_STALL_TIMEOUT_MS = 16_000;

/** Consecutive resumptions without a new token after which the run fails. */
const MAX_IDLE_RESUMPTIONS = 20;

const OK = 200;
const NOT_FOUND = 404;

/** The engine no longer has the stream, because it restarted or discarded the stream. */
class StreamLostError extends Error {}

/** Connection pool and state of an engine, as a run uses them. @internal */
export interface Engine {
  readonly pool: Pool;
  readonly address: string;
  /** Number of restarts detected so far. */
  readonly restarts: number;
  load(): Promise<unknown>;
}

/**
 * Runs one attempt on a model engine. A stream whose connection is lost or stalls is resumed on a
 * new connection, by its id and the number of tokens received.
 * @internal
 */
export class EngineRun {
  readonly #engine: Engine;

  readonly #restarts: number;

  readonly #dispatch: Dispatch;

  readonly #sink: ResponseSink;

  readonly #signal: AbortSignal;

  #hasHead = false;

  /** The response, if it is a stream of events. */
  #stream: CompletionStream | undefined;

  /** Reader of a response that is no stream of events. */
  readonly #usage = new UsageReader();

  constructor(engine: Engine, dispatch: Dispatch, sink: ResponseSink, signal: AbortSignal) {
    this.#engine = engine;
    this.#restarts = engine.restarts;
    this.#dispatch = dispatch;
    this.#sink = sink;
    this.#signal = signal;
  }

  async run(): Promise<Work> {
    try {
      await this.#start();
    } catch (error) {
      await this.#recover(error);
    }
    return this.#work;
  }

  get #work(): Work {
    return this.#stream?.work ?? this.#usage.work;
  }

  async #start(): Promise<void> {
    const dispatch = this.#dispatch;
    const answer = await this.#engine.pool.request({
      method: 'POST',
      path: dispatch.path,
      headers: {
        ...dispatch.headers,
        'x-stream-id': dispatch.attempt,
        'x-priority': String(dispatch.tier),
      },
      body: Buffer.from(dispatch.body),
      signal: this.#signal,
      headersTimeout: 0,
      bodyTimeout: STALL_TIMEOUT_MS,
    });
    const { statusCode, headers, body } = answer;
    this.#hasHead = true;
    checkStatus(answer);
    const isSuccess = statusCode >= 200 && statusCode < 300;
    if (isSuccess && describesEventStream(headers)) {
      this.#stream = new CompletionStream(dispatch.attempt);
      this.#sink.head(statusCode, filterStreamHeaders(headers));
      await this.#readStream(this.#stream, body);
    } else if (isSuccess && requestsStream(dispatch)) {
      discard(body);
      throw new Error('the response is no stream of events');
    } else {
      this.#sink.head(statusCode, filterResponseHeaders(headers));
      await this.#readWhole(body);
    }
  }

  async #readWhole(body: EngineResponse['body']): Promise<void> {
    for await (const data of body) {
      const chunk = data as Buffer;
      this.#usage.read(chunk);
      const isFull = this.#sink.data(chunk, 0);
      if (isFull) await isFull;
    }
  }

  /** Forwards the events of the run. Foreign bytes end the connection like any other break. */
  async #readStream(stream: CompletionStream, body: EngineResponse['body']): Promise<void> {
    try {
      for await (const data of body) {
        const events = stream.read(data as Buffer);
        const isFull = events.length > 0 && this.#sink.data(events, stream.tokens);
        if (isFull) await isFull;
        if (stream.problem !== undefined) throw new Error(stream.problem);
      }
    } catch (error) {
      // Whatever follows the end marker, the response is complete.
      if (!stream.hasEnded) throw error;
    }
    if (!stream.hasEnded) throw new Error('the stream ended before its end marker');
  }

  async #recover(first: unknown): Promise<void> {
    let error = first;
    for (let idle = 0; idle < MAX_IDLE_RESUMPTIONS; idle += 1) {
      const fault = await this.#classifyError(error);
      if (fault) throw new EndpointError(fault, this.#work, error);
      const before = this.#stream?.tokens;
      try {
        await this.#resume(Math.min(MAX_STALL_TIMEOUT_MS, STALL_TIMEOUT_MS * 2 ** idle));
        return;
      } catch (next) {
        error = next;
      }
      if (this.#stream?.tokens !== before) idle = -1;
    }
    throw new EndpointError('failed', this.#work, error);
  }

  /** Returns the fault that ends the run, or undefined if the stream can be resumed. */
  async #classifyError(error: unknown): Promise<EndpointFault | undefined> {
    if (this.#signal.aborted) return 'failed';
    if (error instanceof StreamLostError)
      return (await this.#hasRestarted()) ? 'crashed' : 'failed';
    if (!this.#hasHead && isUnreached(error)) return 'unreached';
    if (await isNotListening(this.#engine.address)) return 'crashed';
    return this.#stream ? undefined : 'failed';
  }

  async #hasRestarted(): Promise<boolean> {
    await this.#engine.load().catch(() => {});
    return this.#engine.restarts > this.#restarts;
  }

  async #resume(stallTimeoutMs: number): Promise<void> {
    const stream = this.#stream;
    if (!stream) throw new StreamLostError('no stream');
    const form = this.#dispatch.path.includes('/chat/') ? 'chat' : 'text';
    const client = new Client(`http://${this.#engine.address}`, { connect: createConnector() });
    try {
      const { statusCode, headers, body } = await client.request({
        method: 'GET',
        path: `/v1/streams/${this.#dispatch.attempt}?offset=${stream.tokens}&form=${form}`,
        signal: this.#signal,
        headersTimeout: STALL_TIMEOUT_MS,
        bodyTimeout: stallTimeoutMs,
      });
      if (statusCode !== OK || !describesEventStream(headers)) {
        discard(body);
        if (statusCode === NOT_FOUND) throw new StreamLostError('no such stream');
        throw new Error(`the resumption got no stream of events, but ${statusCode}`);
      }
      stream.resume();
      await this.#readStream(stream, body);
    } finally {
      client.destroy().catch(() => {});
    }
  }
}

/** Closes the connection of a response that is not read. */
function discard(body: EngineResponse['body']): void {
  body.on('error', () => {}).destroy();
}

/** Whether the body of a request asks for a stream of events. */
function requestsStream({ body }: Dispatch): boolean {
  try {
    const request = JSON.parse(Buffer.from(body).toString('utf8')) as { stream?: unknown };
    return request.stream === true;
  } catch {
    return false;
  }
}
