import { Client, type Dispatcher, type Pool } from 'undici';
import { noWork, type Dispatch, type Work } from '@berylwood/schema';
import { CONNECT_TIMEOUT_MS, isGone, isUnreached } from './connection';
import { EndpointError, type AnswerSink, type EndpointFault } from './Endpoint';
import { keepAnswerHeaders } from './headers';
import { UsageReader } from './UsageReader';

type Answer = Dispatcher.ResponseData;

/** Silence of a stream after which it is resumed on a new connection, in milliseconds. */
const SILENCE_MS = 2000;

/** Resumptions without a new byte after which the run has failed: a long prefill has many. */
const MAX_IDLE_RESUMPTIONS = 150;

const NOT_FOUND = 404;

/** The engine does not know the stream any more: it was restarted. */
class StreamLostError extends Error {}

/**
 * One run on a model engine. A stream whose connection breaks or falls silent is resumed by its id
 * and the number of tokens received, on a new connection.
 * @internal
 */
export class EngineRun {
  readonly #pool: Pool;

  readonly #address: string;

  readonly #dispatch: Dispatch;

  readonly #sink: AnswerSink;

  readonly #signal: AbortSignal;

  #reader: UsageReader | undefined;

  /** Bytes of a resumed stream that were received before. */
  #skip = 0;

  #isStream = false;

  constructor(
    pool: Pool,
    address: string,
    dispatch: Dispatch,
    sink: AnswerSink,
    signal: AbortSignal,
  ) {
    this.#pool = pool;
    this.#address = address;
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
    const answer = await this.#pool.request({
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
      bodyTimeout: SILENCE_MS,
    });
    this.#sink.head(answer.statusCode, keepAnswerHeaders(answer.headers));
    const contentType = String(answer.headers['content-type'] ?? '');
    this.#isStream = contentType.startsWith('text/event-stream');
    this.#reader = new UsageReader(contentType);
    await this.#read(answer);
  }

  async #read(answer: Answer): Promise<void> {
    for await (const data of answer.body) {
      const chunk = this.#withoutRepetition(data as Buffer);
      if (chunk.length === 0) continue;
      this.#reader?.read(chunk);
      const isFull = this.#sink.data(chunk, this.#reader?.tokens ?? 0);
      if (isFull) await isFull;
    }
  }

  #withoutRepetition(chunk: Buffer): Buffer {
    if (this.#skip === 0) return chunk;
    const skipped = Math.min(this.#skip, chunk.length);
    this.#skip -= skipped;
    return chunk.subarray(skipped);
  }

  async #recover(first: unknown): Promise<void> {
    let error = first;
    for (let idle = 0; idle < MAX_IDLE_RESUMPTIONS; idle += 1) {
      const fault = await this.#faultOf(error);
      if (fault) throw new EndpointError(fault, this.#reader?.work ?? noWork, error);
      const before = this.#reader?.tokens;
      try {
        await this.#resume();
        return;
      } catch (next) {
        error = next;
      }
      if (this.#reader?.tokens !== before) idle = 0;
    }
    throw new EndpointError('failed', this.#reader?.work ?? noWork, error);
  }

  /** The fault when the run can not go on; undefined when the stream may be resumed. */
  async #faultOf(error: unknown): Promise<EndpointFault | undefined> {
    if (this.#signal.aborted) return 'failed';
    if (error instanceof StreamLostError) return 'crashed';
    if (!this.#reader && isUnreached(error)) return 'unreached';
    if (await isGone(this.#address)) return 'crashed';
    return this.#isStream ? undefined : 'failed';
  }

  async #resume(): Promise<void> {
    const { tokens = 0, bytesAfterToken = 0 } = this.#reader ?? {};
    this.#skip = bytesAfterToken;
    const form = this.#dispatch.path.includes('/chat/') ? 'chat' : 'text';
    const client = new Client(`http://${this.#address}`, {
      connect: { timeout: CONNECT_TIMEOUT_MS },
    });
    try {
      const answer = await client.request({
        method: 'GET',
        path: `/v1/streams/${this.#dispatch.attempt}?offset=${tokens}&form=${form}`,
        signal: this.#signal,
        headersTimeout: SILENCE_MS,
        bodyTimeout: SILENCE_MS,
      });
      if (answer.statusCode === NOT_FOUND) throw new StreamLostError('no such stream');
      await this.#read(answer);
    } finally {
      client.destroy().catch(() => {});
    }
  }
}
