import { assert, Failure } from '@berylwood/base';
import { consensusCodes } from './codes';
import type { Disk } from './Disk';
import { entryBytes, type Entry } from './Entry';
import { STATE_FILE, segmentName, snapshotIndexes, snapshotName } from './files';
import { decodeFrame, encodeFrame } from './frame';
import { migrate } from './migrations';
import {
  RECORD_VERSION,
  decodeSnapshot,
  encodeEntries,
  encodeJson,
  encodeSnapshot,
  type HardState,
  type Snapshot,
} from './records';
import type { Recovered, Segment } from './recover';

/** Limits on files, writes and entries of a log. @internal */
export interface LogStoreLimits {
  /** Size in bytes at which a new segment is started. */
  readonly segmentBytes: number;
  /** Maximum size in bytes of the entries in one write; a single entry may be larger. */
  readonly syncBytes: number;
  /** Entries kept before a snapshot, for followers that are slightly behind. */
  readonly trailingEntries: number;
}

/**
 * The log of one replica. Entries after the compaction point are kept in memory and in segments on
 * disk. Writes are asynchronous: entries appended during a sync are batched into the next one.
 * @internal
 */
export class LogStore {
  /** Called when entries have become durable. */
  onSynced: () => void = () => {};

  /** Called before a batch of entries is written. */
  onBeforeWrite: () => void = () => {};

  /** Called when the disk has failed or the latest snapshot is damaged. */
  onFailure: (failure: Failure) => void = () => {};

  /** Number of entry syncs since the start. */
  syncs = 0;

  readonly #disk: Disk;

  readonly #limits: LogStoreLimits;

  #entries: Entry[];

  /** Index and term of the entry before the first one in memory. */
  #compactionPoint: { index: number; term: number };

  #snapshot: { index: number; term: number };

  #segments: Segment[];

  /** Segments with a smaller number are obsolete since a leader's snapshot was installed. */
  #firstSegment: number;

  /** Number of the segment that is currently written. */
  #activeSegment = 0;

  #state: HardState;

  #writeQueue: Entry[] = [];

  #isWriting = false;

  #syncedIndex: number;

  #isFailed = false;

  readonly #pendingOperations = new Set<Promise<void>>();

  constructor(disk: Disk, recovered: Recovered, limits: LogStoreLimits) {
    this.#disk = disk;
    this.#limits = limits;
    this.#entries = [...recovered.entries];
    const { index, term } = recovered.snapshot ?? { index: 0, term: 0 };
    this.#compactionPoint = { index, term };
    this.#snapshot = { index, term };
    this.#segments = [...recovered.segments];
    this.#firstSegment = recovered.snapshot?.firstSegment ?? 0;
    this.#state = recovered.state;
    this.#syncedIndex = this.lastIndex;
  }

  /** Index of the first entry in memory. */
  get firstIndex(): number {
    return this.#compactionPoint.index + 1;
  }

  get lastIndex(): number {
    return this.#compactionPoint.index + this.#entries.length;
  }

  get lastTerm(): number {
    return this.#entries.at(-1)?.term ?? this.#compactionPoint.term;
  }

  /** Index up to which the log is durable. */
  get syncedIndex(): number {
    return this.#syncedIndex;
  }

  get snapshotIndex(): number {
    return this.#snapshot.index;
  }

  get state(): HardState {
    return this.#state;
  }

  /** Term of an entry or of the compaction point; undefined if the log does not hold it. */
  term(index: number): number | undefined {
    if (index === this.#compactionPoint.index) return this.#compactionPoint.term;
    return this.entry(index)?.term;
  }

  entry(index: number): Entry | undefined {
    return this.#entries[index - this.firstIndex];
  }

  /** Entries from an index on, up to a total size in bytes but at least one if there is any. */
  slice(from: number, maxBytes: number): Entry[] {
    const entries: Entry[] = [];
    let bytes = 0;
    for (let entry = this.entry(from); entry; entry = this.entry(entry.index + 1)) {
      bytes += entryBytes(entry);
      if (entries.length > 0 && bytes > maxBytes) break;
      entries.push(entry);
    }
    return entries;
  }

  /** Appends entries, replacing those from the first new index on, and schedules their write. */
  append(entries: readonly Entry[]): void {
    const [first] = entries;
    if (!first) return;
    assert(first.index >= this.firstIndex, 'an entry must not precede the compaction point');
    assert(first.index <= this.lastIndex + 1, 'the log must have no gap');
    if (first.index <= this.lastIndex) this.#truncateFrom(first.index);
    for (const entry of entries) {
      this.#entries.push(entry);
      this.#writeQueue.push(entry);
    }
    if (this.#isWriting) return;
    this.#isWriting = true;
    queueMicrotask(() => {
      this.#writeQueued().catch((error: unknown) => this.#handleDiskError(error));
    });
  }

  /** Sets the hard state in memory; `saveState` makes it durable. */
  setState(state: HardState): void {
    this.#state = state;
  }

  /** Makes the current hard state durable. */
  async saveState(): Promise<void> {
    const frame = encodeFrame(RECORD_VERSION, encodeJson(this.#state));
    await this.#runDiskOperation(() => this.#disk.replace(STATE_FILE, frame));
  }

  /** Makes a snapshot of this replica's state durable and compacts the log before it. */
  async compact(snapshot: Omit<Snapshot, 'firstSegment'>): Promise<void> {
    assert(snapshot.index <= this.#syncedIndex, 'a snapshot must cover synced entries only');
    await this.#saveSnapshot({ ...snapshot, firstSegment: this.#firstSegment });
    this.#dropThrough(snapshot.index - this.#limits.trailingEntries);
    await this.#runDiskOperation(() => this.#removeObsolete());
  }

  /**
   * Makes a snapshot from the leader durable. If the log holds the last entry that it covers, with
   * the same term, the entries after it are kept; otherwise the log is cleared. No entry may be
   * appended until this resolves.
   */
  async install(snapshot: Omit<Snapshot, 'firstSegment'>): Promise<void> {
    const { index, term } = snapshot;
    if (this.#syncedIndex >= index && this.term(index) === term) {
      await this.compact(snapshot);
      return;
    }
    this.#writeQueue = [];
    const { number } = this.#beginSegment();
    await this.#saveSnapshot({ ...snapshot, firstSegment: number });
    this.#firstSegment = number;
    this.#entries = [];
    this.#compactionPoint = { index, term };
    this.#syncedIndex = index;
    await this.#runDiskOperation(() => this.#removeObsolete());
  }

  /** Reads the latest snapshot; undefined if there is none or it is damaged. */
  async loadSnapshot(): Promise<Snapshot | undefined> {
    const { index } = this.#snapshot;
    if (index === 0) return undefined;
    try {
      const frame = decodeFrame(await this.#disk.read(snapshotName(index)), 0);
      const body = frame && migrate('snapshot', frame);
      if (body?.isOk()) return decodeSnapshot(body.value);
      this.onFailure(new Failure(consensusCodes.logDamaged, 'the latest snapshot is damaged'));
      return undefined;
    } catch (error) {
      // A newer snapshot may have replaced the file during the read.
      if (index === this.#snapshot.index) throw error;
      return this.loadSnapshot();
    }
  }

  /** Closes the disk once pending operations have settled; queued entries are not written. */
  async close(): Promise<void> {
    this.#isFailed = true;
    this.#writeQueue = [];
    while (this.#pendingOperations.size > 0) await Promise.allSettled(this.#pendingOperations);
    await this.#disk.close();
  }

  #truncateFrom(index: number): void {
    this.#entries.length = index - this.firstIndex;
    this.#writeQueue = this.#writeQueue.filter((entry) => entry.index < index);
    this.#syncedIndex = Math.min(this.#syncedIndex, index - 1);
  }

  async #saveSnapshot(snapshot: Snapshot): Promise<void> {
    const frame = encodeFrame(RECORD_VERSION, encodeSnapshot(snapshot));
    await this.#runDiskOperation(() => this.#disk.replace(snapshotName(snapshot.index), frame));
    this.#snapshot = { index: snapshot.index, term: snapshot.term };
  }

  /** Drops entries in memory up to and including an index. */
  #dropThrough(index: number): void {
    const term = this.term(index);
    if (index <= this.#compactionPoint.index || term === undefined) return;
    this.#entries = this.#entries.slice(index - this.#compactionPoint.index);
    this.#compactionPoint = { index, term };
  }

  async #writeQueued(): Promise<void> {
    while (this.#writeQueue.length > 0 && !this.#isFailed) {
      this.onBeforeWrite();
      const batch = this.#dequeueBatch();
      const segment = this.#openSegment();
      this.#activeSegment = segment.number;
      const frame = encodeFrame(RECORD_VERSION, encodeEntries(batch));
      segment.bytes += frame.byteLength;
      segment.lastIndex = Math.max(segment.lastIndex, (batch.at(-1) as Entry).index);
      await this.#runDiskOperation(() => this.#disk.append(segmentName(segment.number), frame));
      this.syncs += 1;
      this.#markSynced(batch);
    }
    this.#isWriting = false;
  }

  #dequeueBatch(): Entry[] {
    let bytes = 0;
    const end = this.#writeQueue.findIndex((entry, position) => {
      bytes += entryBytes(entry);
      return position > 0 && bytes > this.#limits.syncBytes;
    });
    return this.#writeQueue.splice(0, end < 0 ? this.#writeQueue.length : end);
  }

  #openSegment(): Segment {
    const last = this.#segments.at(-1);
    if (last && last.bytes < this.#limits.segmentBytes) return last;
    return this.#beginSegment();
  }

  #beginSegment(): Segment {
    const number = Math.max(this.#segments.at(-1)?.number ?? 0, this.#firstSegment - 1) + 1;
    const segment = { number, lastIndex: 0, bytes: 0 };
    this.#segments.push(segment);
    return segment;
  }

  /** Advances the synced index by a written batch, except for entries replaced during the write. */
  #markSynced(batch: readonly Entry[]): void {
    const last = batch.findLast((entry) => this.entry(entry.index) === entry);
    if (last && last.index > this.#syncedIndex) this.#syncedIndex = last.index;
    this.onSynced();
  }

  /** Removes segments and snapshots that the latest snapshot makes obsolete. */
  async #removeObsolete(): Promise<void> {
    while (this.#segments.length > 1 && this.#isObsolete(this.#segments[0] as Segment)) {
      if (this.#isFailed) return;
      const segment = this.#segments.shift() as Segment;
      await this.#disk.remove(segmentName(segment.number));
    }
    const indexes = snapshotIndexes(await this.#disk.list());
    const obsolete = indexes.filter((index) => index < this.#snapshot.index);
    for (const index of obsolete) await this.#disk.remove(snapshotName(index));
  }

  #isObsolete(segment: Segment): boolean {
    if (segment.number === this.#activeSegment) return false;
    return segment.number < this.#firstSegment || segment.lastIndex <= this.#compactionPoint.index;
  }

  /** Runs a disk operation; rejects if the store has failed or is closed. */
  async #runDiskOperation(action: () => Promise<void>): Promise<void> {
    if (this.#isFailed) throw new Error('the log store is closed or has failed');
    const operation = action();
    this.#pendingOperations.add(operation);
    try {
      await operation;
    } catch (error) {
      this.#handleDiskError(error);
      throw error;
    } finally {
      this.#pendingOperations.delete(operation);
    }
  }

  #handleDiskError(error: unknown): void {
    if (this.#isFailed) return;
    this.#isFailed = true;
    const message = `disk operation failed: ${String(error)}`;
    this.onFailure(new Failure(consensusCodes.diskFailed, message, { cause: error }));
  }
}
