import { err, ok, type Result } from 'neverthrow';
import { Failure, fail } from '@berylwood/base';
import { consensusCodes } from './codes';
import type { Disk } from './Disk';
import type { Entry } from './Entry';
import {
  IDENTITY_FILE,
  STATE_FILE,
  segmentName,
  segmentNumbers,
  snapshotIndexes,
  snapshotName,
} from './files';
import { decodeFrame, hasCompleteFrameAfter } from './frame';
import type { Identity } from './ids';
import { migrate, type RecordKind } from './migrations';
import {
  decodeEntries,
  decodeJson,
  decodeSnapshot,
  type HardState,
  type Snapshot,
} from './records';

/** A segment of the log; obsolete once its greatest index is compacted. @internal */
export interface Segment {
  readonly number: number;
  lastIndex: number;
  bytes: number;
}

/** Contents of the files of a replica. @internal */
export interface Recovered {
  readonly identity: Identity | undefined;
  readonly state: HardState;
  readonly snapshot: Snapshot | undefined;
  /** Entries after the snapshot. */
  readonly entries: readonly Entry[];
  readonly segments: readonly Segment[];
  /** Size of an incomplete write at the end of the log that was truncated. */
  readonly truncatedBytes: number;
}

const INITIAL_STATE: HardState = { term: 0, vote: '', group: '', wasMember: false };

/** Reads a file that holds a single record; undefined if it is missing. */
async function readRecordFile(
  disk: Disk,
  names: readonly string[],
  name: string,
  kind: RecordKind,
): Promise<Result<Buffer | undefined, Failure>> {
  if (!names.includes(name)) return ok(undefined);
  const bytes = await disk.read(name);
  const frame = decodeFrame(bytes, 0);
  if (!frame || frame.end !== bytes.byteLength) {
    return fail(consensusCodes.logDamaged, `file ${name} is damaged`);
  }
  return migrate(kind, frame);
}

/** Collects the entries of all segments; a later entry replaces those from its index on. */
class EntryCollector {
  readonly #snapshot: Snapshot | undefined;

  entries: Entry[] = [];

  constructor(snapshot: Snapshot | undefined) {
    this.#snapshot = snapshot;
  }

  get #snapshotIndex(): number {
    return this.#snapshot?.index ?? 0;
  }

  /** Adds an entry; returns false if an entry is missing before it. */
  add(entry: Entry): boolean {
    const expected = (this.entries.at(-1)?.index ?? this.#snapshotIndex) + 1;
    if (entry.index > expected) return false;
    const first = this.entries[0]?.index ?? entry.index;
    this.entries.length = Math.max(0, entry.index - first);
    this.entries.push(entry);
    return true;
  }

  /** Whether the entry at the snapshot's index, if present, has the snapshot's term. */
  get matchesSnapshot(): boolean {
    const boundary = this.entries.find((entry) => entry.index === this.#snapshotIndex);
    return !boundary || boundary.term === this.#snapshot?.term;
  }

  get afterSnapshot(): Entry[] {
    return this.entries.filter((entry) => entry.index > this.#snapshotIndex);
  }
}

interface SegmentScan {
  readonly segment: Segment;
  /** Length of the part with complete frames. */
  readonly validBytes: number;
}

function scanSegment(
  number: number,
  bytes: Uint8Array,
  collector: EntryCollector,
): Result<SegmentScan, Failure> {
  const segment: Segment = { number, lastIndex: 0, bytes: bytes.byteLength };
  let offset = 0;
  for (let frame = decodeFrame(bytes, 0); frame; frame = decodeFrame(bytes, offset)) {
    const body = migrate('entries', frame);
    if (body.isErr()) return err(body.error);
    for (const entry of decodeEntries(body.value)) {
      if (!collector.add(entry)) {
        const message = `entries are missing before ${entry.index} in ${segmentName(number)}`;
        return fail(consensusCodes.logDamaged, message);
      }
      segment.lastIndex = Math.max(segment.lastIndex, entry.index);
    }
    offset = frame.end;
  }
  return ok({ segment, validBytes: offset });
}

/** Reads the segments in order and truncates an incomplete write at the end of the last one. */
async function readSegments(
  disk: Disk,
  numbers: readonly number[],
  collector: EntryCollector,
): Promise<Result<{ segments: Segment[]; truncatedBytes: number }, Failure>> {
  const segments: Segment[] = [];
  let truncatedBytes = 0;
  for (const number of numbers) {
    const name = segmentName(number);
    const bytes = await disk.read(name);
    const scan = scanSegment(number, bytes, collector);
    if (scan.isErr()) return err(scan.error);
    const { segment, validBytes } = scan.value;
    if (validBytes < bytes.byteLength) {
      // Frames are synced in order: a later complete frame proves that this part had been synced.
      if (number !== numbers.at(-1) || hasCompleteFrameAfter(bytes, validBytes)) {
        const message = `${name} is damaged at byte ${validBytes}, before intact data`;
        return fail(consensusCodes.logDamaged, message);
      }
      truncatedBytes = bytes.byteLength - validBytes;
      await disk.truncate(name, validBytes);
      segment.bytes = validBytes;
    }
    segments.push(segment);
  }
  return ok({ segments, truncatedBytes });
}

/**
 * Reads the files of a replica and truncates a torn write at the end of the log.
 * Fails with `logDamaged` or `versionUnknown`; rejects with the error of the disk.
 * @internal
 */
export async function recover(disk: Disk): Promise<Result<Recovered, Failure>> {
  const names = await disk.list();
  const identity = await readRecordFile(disk, names, IDENTITY_FILE, 'identity');
  if (identity.isErr()) return err(identity.error);
  const state = await readRecordFile(disk, names, STATE_FILE, 'state');
  if (state.isErr()) return err(state.error);
  const index = snapshotIndexes(names).at(-1);
  const name = index === undefined ? '' : snapshotName(index);
  const snapshotBody = await readRecordFile(disk, names, name, 'snapshot');
  if (snapshotBody.isErr()) return err(snapshotBody.error);
  const snapshot = snapshotBody.value && decodeSnapshot(snapshotBody.value);
  const collector = new EntryCollector(snapshot);
  const firstSegment = snapshot?.firstSegment ?? 0;
  const numbers = segmentNumbers(names).filter((number) => number >= firstSegment);
  const obsolete = segmentNumbers(names).filter((number) => number < firstSegment);
  for (const number of obsolete) await disk.remove(segmentName(number));
  const scan = await readSegments(disk, numbers, collector);
  if (!collector.matchesSnapshot) {
    return fail(
      consensusCodes.logDamaged,
      'the log does not match the term of the latest snapshot',
    );
  }
  return scan.map(({ segments, truncatedBytes }) => ({
    identity: identity.value && decodeJson<Identity>(identity.value),
    state: state.value ? decodeJson<HardState>(state.value) : INITIAL_STATE,
    snapshot,
    entries: collector.afterSnapshot,
    segments,
    truncatedBytes,
  }));
}
