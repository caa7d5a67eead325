/** Kind of data in a log entry. @public */
export enum EntryKind {
  /** Appended by a new leader, which can commit entries of older terms only with one of its own. */
  Noop = 0,
  /** A command for the embedder's state machine. */
  Command = 1,
  /** A group membership, encoded by `encodeMembership`. */
  Membership = 2,
}

/** One entry of the replicated log. Index and term start at 1. @public */
export interface Entry {
  readonly index: number;
  readonly term: number;
  readonly kind: EntryKind;
  readonly data: Uint8Array;
}

/** Bytes per entry in addition to its data, counted against memory and message limits. @internal */
const ENTRY_OVERHEAD_BYTES = 64;

/** Size of an entry in bytes, as counted against memory and message limits. @internal */
export function entryBytes(entry: Entry): number {
  return entry.data.byteLength + ENTRY_OVERHEAD_BYTES;
}
