import type { Journal, Timer } from '@berylwood/base';
import type { Disk } from '@berylwood/consensus';
import type { AppendOutcome } from './AppendOutcome';
import { registryEvents } from './events';
import { decodeOrigins, encodeOrigins } from './originFrames';
import { OriginTable, type HeldOrigin } from './OriginTable';
import type { StreamKey, StreamOrigin } from './StreamOrigin';

/** Entries in memory. */
const MAX_ENTRIES = 100_000;

/** Size in bytes at which a new segment is started, and that of all segments together. */
const SEGMENT_BYTES = 512 * 1024;
const TOTAL_BYTES = 4 * 1024 * 1024;

/** Entries that wait for the write under way; more are held in memory only. */
const MAX_QUEUED_ENTRIES = 4096;

/** Age of a write at which the disk counts as stalled, in milliseconds. */
const STALL_MS = 250;

/** Time after a failed write in which none is tried, in milliseconds. */
const RETRY_DELAY_MS = 250;

/** Shortest time between two log lines about the state of the disk, in milliseconds. */
const LOG_INTERVAL_MS = 10_000;

const SEGMENT_PATTERN = /^origins-(\d+)$/;
const NUMBER_DIGITS = 15;

const segmentName = (number: number): string =>
  `origins-${String(number).padStart(NUMBER_DIGITS, '0')}`;

interface Segment {
  readonly number: number;
  bytes: number;
  /** Monotonic time at which its last entry expires, in milliseconds. */
  expiresAt: number;
}

/** Entries of one call that wait for their write. */
interface QueuedWrite {
  readonly origins: readonly StreamOrigin[];
  readonly settle: (isSynced: boolean) => void;
}

/** Options of the stream origins held by one instance. @public */
export interface StreamOriginLogOptions {
  /** Opens the disk, again after a failure; undefined on an instance without a data directory. */
  readonly openDisk: (() => Promise<Disk>) | undefined;
  readonly timer: Timer;
  readonly journal: Journal;
}

/**
 * The stream origins held by one instance, in memory and on its disk. They are written once and never
 * changed: the first version of a stream stays. Calls that come during a write are joined into the
 * next one. No wall clock is used: an entry that is read back is kept for its whole time once more.
 * @public
 */
export class StreamOriginLog implements Disposable {
  readonly #options: StreamOriginLogOptions;

  readonly #table = new OriginTable(MAX_ENTRIES);

  #disk: Disk | undefined;

  /** Oldest first; the last one is written. */
  #segments: Segment[] = [];

  #queue: QueuedWrite[] = [];

  #queuedEntries = 0;

  #isWriting = false;

  /** Monotonic time at which the operation under way began; `Infinity` if there is none. */
  #operationSince = Infinity;

  #retryAt = -Infinity;

  #isLoggedAsFailing = false;

  #loggedAt = -Infinity;

  #opening: Promise<void> | undefined;

  /** Whether the entries on disk have been read. */
  #isLoaded = false;

  /** Whether a failed write may have left bytes at the end of the last segment. */
  #isTorn = false;

  #isClosed = false;

  /** Number of syncs since the start. */
  syncs = 0;

  constructor(options: StreamOriginLogOptions) {
    this.#options = options;
  }

  /** Whether entries of this instance are meant to outlive it. */
  get isDurable(): boolean {
    return this.#options.openDisk !== undefined;
  }

  /** Number of entries in memory. */
  get size(): number {
    return this.#table.size;
  }

  /** Size of the files in bytes. */
  get bytes(): number {
    return this.#segments.reduce((sum, { bytes }) => sum + bytes, 0);
  }

  /** Reads the entries on disk. A failure is logged, and the disk is opened again by a later write. */
  async open(): Promise<void> {
    const { openDisk } = this.#options;
    if (!openDisk || this.#disk || this.#isClosed) return;
    if (!this.#opening && this.#options.timer.now() < this.#retryAt) return;
    this.#opening ??= this.#openWith(openDisk);
    await this.#opening;
  }

  /** Version that began a stream; undefined if it is not known here. */
  find(key: StreamKey): string | undefined {
    return this.#table.find(key, this.#options.timer.now());
  }

  /** Versions that began the streams of a pool; undefined if the entries on disk can't be read. */
  async versionsOf(pool: string): Promise<string[] | undefined> {
    if (this.isDurable && !this.#isLoaded) await this.open();
    if (this.isDurable && !this.#isLoaded) return undefined;
    return this.#table.versionsOf(pool, this.#options.timer.now());
  }

  /** Like `find`, once the entries on disk have been read if they can be. */
  async search(key: StreamKey): Promise<string | undefined> {
    if (this.isDurable && !this.#isLoaded) await this.open();
    return this.find(key);
  }

  /**
   * Adds entries; they are found at once. Resolves to the outcome of each: `synced` once the disk has
   * it, `held` soon after the disk fails or is found to be stalled.
   */
  async append(origins: readonly StreamOrigin[]): Promise<AppendOutcome[]> {
    const now = this.#options.timer.now();
    const held = origins.map((origin) => this.#table.add(origin, now));
    const isUnsynced = (origin: StreamOrigin, i: number): boolean =>
      held[i]?.version === origin.version && !held[i].isSynced;
    const unsynced = origins.filter(isUnsynced);
    if (unsynced.length > 0 && (await this.#write(unsynced))) {
      for (const [i, origin] of origins.entries()) {
        const item = held[i];
        if (item?.version === origin.version) item.isSynced = true;
      }
    }
    return held.map(({ isSynced, version }, i) => {
      if (version !== origins[i]?.version) return 'conflict';
      return isSynced ? 'synced' : 'held';
    });
  }

  [Symbol.dispose](): void {
    this.#isClosed = true;
    this.#settle(this.#dequeue(), false);
    if (!this.#isWriting) this.#closeDisk();
  }

  get #isAccepting(): boolean {
    const now = this.#options.timer.now();
    return (
      this.isDurable &&
      !this.#isClosed &&
      now >= this.#retryAt &&
      now - this.#operationSince <= STALL_MS &&
      this.#queuedEntries < MAX_QUEUED_ENTRIES
    );
  }

  /** Resolves to whether the entries are synced. */
  #write(origins: readonly StreamOrigin[]): Promise<boolean> {
    if (!this.#isAccepting) {
      if (this.isDurable && !this.#isClosed) this.#setFailing(true, 'stalled or failing');
      return Promise.resolve(false);
    }
    return new Promise((resolve) => {
      this.#queue.push({ origins, settle: resolve });
      this.#queuedEntries += origins.length;
      if (!this.#isWriting) this.#writeQueued();
    });
  }

  /** Writes until the queue is empty; never rejects. */
  async #writeQueued(): Promise<void> {
    this.#isWriting = true;
    // Calls of the same turn are joined.
    await Promise.resolve();
    while (this.#queue.length > 0) {
      const batch = this.#dequeue();
      try {
        await this.#writeBatch(batch.flatMap(({ origins }) => origins));
        this.#setFailing(false);
        this.#settle(batch, true);
        this.#operationSince = this.#options.timer.now();
        await this.#removeObsolete();
      } catch (error) {
        this.#handleFailure(error);
        this.#settle([...batch, ...this.#dequeue()], false);
      }
      this.#operationSince = Infinity;
    }
    this.#isWriting = false;
    if (this.#isClosed) this.#closeDisk();
  }

  #dequeue(): QueuedWrite[] {
    const batch = this.#queue;
    this.#queue = [];
    this.#queuedEntries = 0;
    return batch;
  }

  #settle(batch: readonly QueuedWrite[], isSynced: boolean): void {
    for (const { settle } of batch) settle(isSynced);
  }

  async #writeBatch(origins: readonly StreamOrigin[]): Promise<void> {
    const { timer } = this.#options;
    this.#operationSince = timer.now();
    if (!this.#disk) await this.open();
    if (!this.#disk) throw new Error('the disk is not open');
    if (this.#isTorn) await this.#cutLast(this.#disk);
    const frame = encodeOrigins(origins);
    const segment = this.#activeSegment();
    this.#isTorn = true;
    await this.#disk.append(segmentName(segment.number), frame);
    this.#isTorn = false;
    this.syncs += 1;
    segment.bytes += frame.byteLength;
    const keepMs = origins.reduce((most, origin) => Math.max(most, origin.keepMs), 0);
    segment.expiresAt = Math.max(segment.expiresAt, timer.now() + keepMs);
  }

  /** Cuts off what a failed write may have left. */
  async #cutLast(disk: Disk): Promise<void> {
    const segment = this.#activeSegment();
    const name = segmentName(segment.number);
    if (segment.bytes > 0) await disk.truncate(name, segment.bytes);
    else await disk.remove(name);
  }

  #activeSegment(): Segment {
    const last = this.#segments.at(-1);
    if (last && last.bytes < SEGMENT_BYTES) return last;
    const segment = { number: (last?.number ?? 0) + 1, bytes: 0, expiresAt: -Infinity };
    this.#segments.push(segment);
    return segment;
  }

  /** Removes segments that have expired or are too many, but never the one that is written. */
  async #removeObsolete(): Promise<void> {
    for (;;) {
      const [oldest] = this.#segments;
      if (!oldest || this.#segments.length === 1) return;
      const isOver = this.bytes > TOTAL_BYTES - SEGMENT_BYTES;
      if (!isOver && oldest.expiresAt > this.#options.timer.now()) return;
      await this.#disk?.remove(segmentName(oldest.number));
      this.#segments.shift();
    }
  }

  /** The disk is used by others only once its entries have been read. */
  async #openWith(openDisk: () => Promise<Disk>): Promise<void> {
    try {
      const disk = await openDisk();
      if (!this.#isLoaded) await this.#load(disk);
      this.#isLoaded = true;
      this.#disk = disk;
    } catch (error) {
      this.#handleFailure(error);
    }
    this.#opening = undefined;
    if (this.#isClosed && !this.#isWriting) this.#closeDisk();
  }

  async #load(disk: Disk): Promise<void> {
    const numbers = (await disk.list()).flatMap((name) => {
      const digits = SEGMENT_PATTERN.exec(name)?.[1];
      return digits === undefined ? [] : [Number(digits)];
    });
    const segments: Segment[] = [];
    for (const number of numbers.sort((a, b) => a - b)) {
      segments.push(await this.#loadSegment(disk, number));
    }
    this.#segments = segments;
  }

  async #loadSegment(disk: Disk, number: number): Promise<Segment> {
    const { timer, journal } = this.#options;
    const file = segmentName(number);
    // A file that can not be read now is not written, and is kept as long as there is room.
    const segment: Segment = { number, bytes: SEGMENT_BYTES, expiresAt: Infinity };
    try {
      const bytes = await disk.read(file);
      const { origins, skippedBytes, validEnd } = decodeOrigins(bytes);
      if (skippedBytes > 0)
        journal.record(registryEvents.originFileDamaged, { file, skippedBytes });
      const now = timer.now();
      const held: HeldOrigin[] = origins.map((origin) => this.#table.add(origin, now));
      for (const item of held) item.isSynced = true;
      segment.expiresAt = held.reduce((last, item) => Math.max(last, item.expiresAt), -Infinity);
      if (validEnd < bytes.byteLength) await disk.truncate(file, validEnd);
      segment.bytes = validEnd;
    } catch (error) {
      journal.record(registryEvents.originFileDamaged, { file, error: String(error) });
    }
    return segment;
  }

  /** The disk is opened again, so that a file whose creation was not synced is synced again. */
  #handleFailure(error: unknown): void {
    this.#retryAt = this.#options.timer.now() + RETRY_DELAY_MS;
    this.#setFailing(true, String(error));
    this.#closeDisk();
  }

  #closeDisk(): void {
    const disk = this.#disk;
    this.#disk = undefined;
    disk?.close().catch((error: unknown) => {
      this.#options.journal.record(registryEvents.originDiskFailed, { error: String(error) });
    });
  }

  /** Logs a change of state, not more often than once in an interval. */
  #setFailing(isFailing: boolean, error?: string): void {
    const { timer, journal } = this.#options;
    const now = timer.now();
    if (isFailing === this.#isLoggedAsFailing) return;
    if (now - this.#loggedAt < LOG_INTERVAL_MS) return;
    this.#isLoggedAsFailing = isFailing;
    this.#loggedAt = now;
    if (isFailing) journal.record(registryEvents.originDiskFailed, { error });
    else journal.record(registryEvents.originDiskRecovered);
  }
}
