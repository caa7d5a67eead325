import type { Timer } from '@berylwood/base';
import { HttpFault } from '../StandIn';
import type { Batch } from './Batch';
import { EngineStream } from './EngineStream';
import type { PrefixCache } from './PrefixCache';

/** Tokens in one block of the prefix cache. */
const BLOCK_TOKENS = 64;

const KEPT_STREAMS = 2000;

/** Time that a stream without a reader goes on, so that it can be resumed, in milliseconds. */
const ORPHAN_LIMIT_MS = 5000;

const SWEEP_MS = 500;

/** The streams of an engine, running and lately ended. @internal */
export class StreamTable implements Disposable {
  readonly #timer: Timer;

  readonly #batch: Batch;

  readonly #cache: PrefixCache;

  readonly #streams = new Map<string, EngineStream>();

  readonly #sweeping: Disposable;

  constructor(timer: Timer, batch: Batch, cache: PrefixCache) {
    this.#timer = timer;
    this.#batch = batch;
    this.#cache = cache;
    this.#sweeping = timer.every(SWEEP_MS, () => this.#sweep());
  }

  /** @throws HttpFault 404 when the stream is unknown or was cancelled. */
  find(id: string): EngineStream {
    const stream = this.#streams.get(id);
    if (!stream || stream.isAborted) throw new HttpFault(404, 'no such stream');
    return stream;
  }

  /** Queues a new stream, or one imported with the tokens it has. */
  start(stream: EngineStream, isImported: boolean): void {
    const { id, state } = stream;
    if (this.#streams.has(id)) throw new HttpFault(409, 'the stream id is in use');
    stream.unreadSince = this.#timer.now();
    this.#streams.set(id, stream);
    this.#forgetOldest();
    const generation = {
      ...state,
      findCached: () => this.#findCached(stream),
      onProgress: (tokens: number) => this.#progress(stream, tokens),
      onAbort: () => {
        stream.isAborted = true;
        stream.notify();
      },
    };
    this.#batch.submit(generation, isImported ? stream.tokens : undefined);
  }

  /** A reader is gone; a stream that nobody reads any more is cancelled after a time. */
  leave(stream: EngineStream): void {
    stream.readers -= 1;
    stream.unreadSince = this.#timer.now();
  }

  /** Removes a stream that has moved to another engine. */
  release(id: string): void {
    this.#batch.cancel(id);
    this.#streams.delete(id);
  }

  [Symbol.dispose](): void {
    this.#sweeping[Symbol.dispose]();
  }

  #sweep(): void {
    const limit = this.#timer.now() - ORPHAN_LIMIT_MS;
    for (const stream of this.#streams.values()) {
      const isOrphan = stream.readers === 0 && stream.unreadSince < limit;
      const isOpen = !stream.isWhole && !stream.isAborted && !this.#batch.isPaused(stream.id);
      if (isOrphan && isOpen) this.#batch.cancel(stream.id);
    }
  }

  #findCached(stream: EngineStream): number {
    const { blocks, promptTokens } = stream.state;
    stream.cachedTokens = Math.min(promptTokens, this.#cache.lookup(blocks) * BLOCK_TOKENS);
    return stream.cachedTokens;
  }

  #progress(stream: EngineStream, tokens: number): void {
    if (stream.tokens === 0) this.#cache.store(stream.state.blocks);
    stream.tokens = tokens;
    stream.notify();
  }

  #forgetOldest(): void {
    const [oldest] = this.#streams.keys();
    if (this.#streams.size > KEPT_STREAMS && oldest) this.#streams.delete(oldest);
  }
}
