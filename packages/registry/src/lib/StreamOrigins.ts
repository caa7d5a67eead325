import { DisposableStore, type Journal, type Metrics, type Timer } from '@berylwood/base';
import { MAX_RECORDED_ORIGINS } from './MeshMessage';
import { OriginAvailability } from './OriginAvailability';
import { OriginBatch, type RecordOutcome } from './OriginBatch';
import type { OriginHolder, OriginPeers } from './OriginPeers';
import { OriginSearch } from './OriginSearch';
import {
  isPackedOrigin,
  isStreamKey,
  packOrigin,
  type StreamKey,
  type StreamOrigin,
} from './StreamOrigin';
import type { StreamOriginLog } from './StreamOriginLog';
import { VersionSearch } from './VersionSearch';

/** Time for which entries are collected before they are sent together, in milliseconds. */
const COLLECT_MS = 2;

/** Longest time from `record` to its outcome, in milliseconds. */
const RECORD_BOUND_MS = 60;

/** Time for which a holder that failed to store an entry is asked after others, in milliseconds. */
const AVOID_HOLDER_MS = 1000;

/** Bytes that wait for a holder that does not read; nothing more is sent to it. */
const MAX_BUFFERED_BYTES = 1024 * 1024;

/** Buckets of the time of a write, in seconds. */
const WRITE_BUCKETS_S = [0.002, 0.004, 0.008, 0.016, 0.03, 0.06];

interface StreamOriginsOptions {
  readonly log: StreamOriginLog;
  readonly peers: OriginPeers;
  /** Number of disks that may be lost at the same time. */
  readonly tolerance: number;
  readonly timer: Timer;
  readonly journal: Journal;
  readonly metrics: Metrics;
}

/**
 * Records the version that began each stream on more disks than may be lost, and finds it again after
 * any instance, or all of them, have restarted. No safety depends on a write: a stream whose origin
 * is not found is not continued.
 * @public
 */
export class StreamOrigins implements Disposable {
  readonly #options: StreamOriginsOptions;

  readonly #store = new DisposableStore();

  readonly #availability: OriginAvailability;

  readonly #avoidUntil = new Map<string, number>();

  readonly #records;

  readonly #writeSeconds;

  readonly #searches;

  #batch: OriginBatch | undefined;

  /** @internal */
  constructor(options: StreamOriginsOptions) {
    this.#options = options;
    const { timer, journal, metrics } = options;
    this.#availability = new OriginAvailability(timer, journal);
    const recordsHelp = 'Origins of streams recorded, by outcome';
    this.#records = metrics.counter('stream_origin_records_total', recordsHelp, ['outcome']);
    const writeHelp = 'Time to store an origin on enough disks';
    this.#writeSeconds = metrics.histogram(
      'stream_origin_write_seconds',
      writeHelp,
      [],
      WRITE_BUCKETS_S,
    );
    const searchesHelp = 'Searches of the origin of a stream, by outcome';
    this.#searches = metrics.counter('stream_origin_searches_total', searchesHelp, ['outcome']);
  }

  /**
   * Records the version that began a stream; resolves within 60 ms. It does not wait while too few
   * holders are connected or the recent writes have failed; the entry is sent all the same.
   */
  async record(origin: StreamOrigin): Promise<RecordOutcome> {
    const { timer } = this.#options;
    const startedAt = timer.now();
    const outcome = await this.#write(origin);
    this.#records.inc({ outcome });
    if (outcome === 'durable') this.#writeSeconds.observe((timer.now() - startedAt) / 1000);
    return outcome;
  }

  /** Finds the version that began a stream; resolves to undefined within 250 ms if it is not found. */
  async find(key: StreamKey): Promise<string | undefined> {
    if (!isStreamKey(key)) return undefined;
    const { version, outcome } = await new OriginSearch(this.#options, key).run();
    this.#searches.inc({ outcome });
    return version;
  }

  /**
   * Finds the version that began all streams of a pool whose origins are kept; resolves to undefined if there are
   * several, or if no more disks than may be lost are known within 250 ms to hold one.
   */
  async findOnlyVersion(pool: string): Promise<string | undefined> {
    const { log, peers, timer, tolerance } = this.#options;
    const replies = await new VersionSearch({ log, peers, timer }, pool).run();
    const versions = new Set(replies.flat());
    return replies.length > tolerance && versions.size === 1 ? [...versions][0] : undefined;
  }

  [Symbol.dispose](): void {
    this.#store[Symbol.dispose]();
    this.log[Symbol.dispose]();
    this.#batch?.end();
    this.#batch = undefined;
  }

  /** The origins held by this instance. @internal */
  get log(): StreamOriginLog {
    return this.#options.log;
  }

  get #requiredSyncs(): number {
    return this.#options.tolerance + 1;
  }

  /** Whether a write can succeed, so that waiting for it makes sense. */
  get #isWorthWaiting(): boolean {
    const { log, peers } = this.#options;
    const holders = peers.originHolders.length + (log.isDurable ? 1 : 0);
    return holders >= this.#requiredSyncs && this.#availability.isAvailable;
  }

  #write(origin: StreamOrigin): Promise<RecordOutcome> {
    if (this.#store.isDisposed || !isPackedOrigin(packOrigin(origin))) {
      return Promise.resolve('unavailable');
    }
    return new Promise((resolve) => {
      const batch = this.#batch ?? this.#startBatch();
      batch.add(origin, resolve);
      if (!this.#isWorthWaiting) resolve('unavailable');
      if (batch.size >= MAX_RECORDED_ORIGINS) this.#send(batch);
    });
  }

  #startBatch(): OriginBatch {
    const batch = new OriginBatch(this.#requiredSyncs);
    this.#batch = batch;
    const sending = this.#store.add(
      this.#options.timer.after(COLLECT_MS, () => {
        this.#store.release(sending);
        this.#send(batch);
      }),
    );
    return batch;
  }

  #send(batch: OriginBatch): void {
    if (this.#batch !== batch) return;
    this.#batch = undefined;
    const { log, timer } = this.#options;
    const holders = this.#chooseHolders();
    batch.expectReplies(holders.length + 1);
    const bound = this.#store.add(
      timer.after(RECORD_BOUND_MS - COLLECT_MS, () => this.#end(batch, bound)),
    );
    const { origins } = batch;
    const addReply = (outcomes: readonly unknown[] | undefined): void => {
      if (batch.addReply(outcomes)) this.#end(batch, bound);
    };
    log.append(origins).then(addReply);
    const packed = origins.map(packOrigin);
    for (const holder of holders) this.#ask(holder, packed).then(addReply);
  }

  async #ask(
    holder: OriginHolder,
    origins: readonly ReturnType<typeof packOrigin>[],
  ): Promise<readonly unknown[] | undefined> {
    const message = { type: 'recordOrigins' as const, origins };
    const reply = await holder.call<unknown>(message, RECORD_BOUND_MS - COLLECT_MS);
    const value = reply.unwrapOr(undefined);
    const outcomes = Array.isArray(value) ? (value as unknown[]) : undefined;
    if (!outcomes || outcomes.includes('held')) {
      this.#avoidUntil.set(holder.peer, this.#options.timer.now() + AVOID_HOLDER_MS);
    }
    return outcomes;
  }

  /**
   * Connected holders to write to, beside the own disk: as many as are needed if the tolerated number
   * of disks is lost. Those that have just failed come last.
   */
  #chooseHolders(): OriginHolder[] {
    const { log, peers, tolerance, timer } = this.#options;
    const now = timer.now();
    for (const [peer, until] of this.#avoidUntil) if (until <= now) this.#avoidUntil.delete(peer);
    const rank = ({ peer }: OriginHolder): number => (this.#avoidUntil.has(peer) ? 1 : 0);
    return peers.originHolders
      .filter(({ bufferedBytes }) => bufferedBytes <= MAX_BUFFERED_BYTES)
      .sort((a, b) => rank(a) - rank(b) || (a.peer < b.peer ? -1 : 1))
      .slice(0, 2 * tolerance + 1 - (log.isDurable ? 1 : 0));
  }

  #end(batch: OriginBatch, bound: Disposable): void {
    if (batch.hasEnded) return;
    this.#store.release(bound);
    batch.end();
    const { isDurable } = batch;
    if (isDurable !== undefined) this.#availability.observe(isDurable);
  }
}
