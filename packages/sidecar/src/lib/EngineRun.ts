import { Client, type Dispatcher, type Pool } from 'undici';
import { noWork, type Dispatch, type Work } from '@berylwood/schema';
import { CONNECT_TIMEOUT_MS, isNotListening, isUnreached } from './connection';
import { EndpointError, type ResponseSink, type EndpointFault } from './Endpoint';
import { filterResponseHeaders } from './headers';
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

  #reader: UsageReader | undefined;

  /** Bytes at the start of a resumed stream that were already received and are skipped. */
  #bytesToSkip = 0;

  #isStream = false;

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
    return this.#reader?.work ?? noWork;
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
    this.#sink.head(answer.statusCode, filterResponseHeaders(answer.headers));
    const contentType = String(answer.headers['content-type'] ?? '');
    this.#isStream = contentType.startsWith('text/event-stream');
    this.#reader = new UsageReader(contentType);
    await this.#read(answer);
  }

  async #read(answer: EngineResponse): Promise<void> {
    for await (const data of answer.body) {
      const chunk = this.#dropReceivedBytes(data as Buffer);
      if (chunk.length === 0) continue;
      this.#reader?.read(chunk);
      const isFull = this.#sink.data(chunk, this.#reader?.tokens ?? 0);
      if (isFull) await isFull;
    }
  }

  #dropReceivedBytes(chunk: Buffer): Buffer {
    if (this.#bytesToSkip === 0) return chunk;
    const skipped = Math.min(this.#bytesToSkip, chunk.length);
    this.#bytesToSkip -= skipped;
    return chunk.subarray(skipped);
  }

  async #recover(first: unknown): Promise<void> {
    let error = first;
    for (let idle = 0; idle < MAX_IDLE_RESUMPTIONS; idle += 1) {
      const fault = await this.#classifyError(error);
      if (fault) throw new EndpointError(fault, this.#reader?.work ?? noWork, error);
      const before = this.#reader?.tokens;
      try {
        await this.#resume(Math.min(MAX_STALL_TIMEOUT_MS, STALL_TIMEOUT_MS * 2 ** idle));
        return;
      } catch (next) {
        error = next;
      }
      if (this.#reader?.tokens !== before) idle = -1;
    }
    throw new EndpointError('failed', this.#reader?.work ?? noWork, error);
  }

  /** Returns the fault that ends the run, or undefined if the stream can be resumed. */
  async #classifyError(error: unknown): Promise<EndpointFault | undefined> {
    if (this.#signal.aborted) return 'failed';
    if (error instanceof StreamLostError)
      return (await this.#hasRestarted()) ? 'crashed' : 'failed';
    if (!this.#reader && isUnreached(error)) return 'unreached';
    if (await isNotListening(this.#engine.address)) return 'crashed';
    return this.#isStream ? undefined : 'failed';
  }

  async #hasRestarted(): Promise<boolean> {
    await this.#engine.load().catch(() => {});
    return this.#engine.restarts > this.#restarts;
  }

  async #resume(stallTimeoutMs: number): Promise<void> {
    const { tokens = 0, bytesAfterToken = 0 } = this.#reader ?? {};
    this.#bytesToSkip = bytesAfterToken;
    const form = this.#dispatch.path.includes('/chat/') ? 'chat' : 'text';
    const client = new Client(`http://${this.#engine.address}`, {
      connect: { timeout: CONNECT_TIMEOUT_MS },
    });
    try {
      const answer = await client.request({
        method: 'GET',
        path: `/v1/streams/${this.#dispatch.attempt}?offset=${tokens}&form=${form}`,
        signal: this.#signal,
        headersTimeout: STALL_TIMEOUT_MS,
        bodyTimeout: stallTimeoutMs,
      });
      if (answer.statusCode === NOT_FOUND) throw new StreamLostError('no such stream');
      await this.#read(answer);
    } finally {
      client.destroy().catch(() => {});
    }
  }
}
