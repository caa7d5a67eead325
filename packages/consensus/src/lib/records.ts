import type { Entry } from './Entry';
import type { GroupId, Identity, Incarnation } from './ids';
import { decodeMembership, encodeMembership, type Membership } from './Membership';

/** Format version of the records that are written. @internal */
export const RECORD_VERSION = 1;

/**
 * State that must survive a restart. Without it, a replica could vote twice in one term.
 * @internal
 */
export interface HardState {
  readonly term: number;
  /** Incarnation that this replica voted for in `term`; empty if none. */
  readonly vote: Incarnation | '';
  readonly group: GroupId | '';
  /** Whether this incarnation was ever a member. A removed one does not request to join again. */
  readonly wasMember: boolean;
}

/** A snapshot with the index and term of the last entry that it covers. @internal */
export interface Snapshot {
  readonly index: number;
  readonly term: number;
  readonly membership: Membership;
  /** Number of the first segment whose entries belong to the log; earlier ones are obsolete. */
  readonly firstSegment: number;
  /** State of the embedder's state machine. */
  readonly state: Uint8Array;
}

/** Kind, index, term and data length. */
const ENTRY_HEADER_BYTES = 17;
const INTEGER_BYTES = 6;
const INDEX_OFFSET = 1;
const TERM_OFFSET = 7;
const LENGTH_OFFSET = 13;

/** Encodes entries that are written and synced together, into one buffer. @internal */
export function encodeEntries(entries: readonly Entry[]): Buffer {
  const size = entries.reduce((sum, { data }) => sum + ENTRY_HEADER_BYTES + data.byteLength, 0);
  const body = Buffer.allocUnsafe(size);
  let offset = 0;
  for (const { kind, index, term, data } of entries) {
    body.writeUInt8(kind, offset);
    body.writeUIntBE(index, offset + INDEX_OFFSET, INTEGER_BYTES);
    body.writeUIntBE(term, offset + TERM_OFFSET, INTEGER_BYTES);
    body.writeUInt32BE(data.byteLength, offset + LENGTH_OFFSET);
    body.set(data, offset + ENTRY_HEADER_BYTES);
    offset += ENTRY_HEADER_BYTES + data.byteLength;
  }
  return body;
}

/** @internal */
export function decodeEntries(body: Buffer): Entry[] {
  const entries: Entry[] = [];
  let offset = 0;
  while (offset < body.byteLength) {
    const start = offset + ENTRY_HEADER_BYTES;
    const end = start + body.readUInt32BE(offset + LENGTH_OFFSET);
    entries.push({
      kind: body.readUInt8(offset),
      index: body.readUIntBE(offset + INDEX_OFFSET, INTEGER_BYTES),
      term: body.readUIntBE(offset + TERM_OFFSET, INTEGER_BYTES),
      // Copied, so that the entry does not keep the buffer of its segment in memory.
      data: new Uint8Array(body.subarray(start, end)),
    });
    offset = end;
  }
  return entries;
}

/** Index, term, first segment and membership length. */
const SNAPSHOT_HEADER_BYTES = 22;
const SNAPSHOT_TERM_OFFSET = 6;
const SNAPSHOT_SEGMENT_OFFSET = 12;
const SNAPSHOT_LENGTH_OFFSET = 18;

/** @internal */
export function encodeSnapshot(snapshot: Snapshot): Buffer {
  const membership = encodeMembership(snapshot.membership);
  const header = Buffer.alloc(SNAPSHOT_HEADER_BYTES);
  header.writeUIntBE(snapshot.index, 0, INTEGER_BYTES);
  header.writeUIntBE(snapshot.term, SNAPSHOT_TERM_OFFSET, INTEGER_BYTES);
  header.writeUIntBE(snapshot.firstSegment, SNAPSHOT_SEGMENT_OFFSET, INTEGER_BYTES);
  header.writeUInt32BE(membership.byteLength, SNAPSHOT_LENGTH_OFFSET);
  return Buffer.concat([header, membership, snapshot.state]);
}

/** @internal */
export function decodeSnapshot(body: Buffer): Snapshot {
  const end = SNAPSHOT_HEADER_BYTES + body.readUInt32BE(SNAPSHOT_LENGTH_OFFSET);
  return {
    index: body.readUIntBE(0, INTEGER_BYTES),
    term: body.readUIntBE(SNAPSHOT_TERM_OFFSET, INTEGER_BYTES),
    firstSegment: body.readUIntBE(SNAPSHOT_SEGMENT_OFFSET, INTEGER_BYTES),
    membership: decodeMembership(body.subarray(SNAPSHOT_HEADER_BYTES, end)),
    state: new Uint8Array(body.subarray(end)),
  };
}

/** @internal */
export function encodeJson(value: HardState | Identity): Buffer {
  return Buffer.from(JSON.stringify(value));
}

/** @internal */
export function decodeJson<T extends HardState | Identity>(body: Buffer): T {
  return JSON.parse(body.toString()) as T;
}
