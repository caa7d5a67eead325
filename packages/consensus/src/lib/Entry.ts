/** What an entry of the log holds. @public */
export enum EntryKind {
  /** Appended by a new leader, so that entries of older terms become committable. */
  Noop = 0,
  /** A command of the embedder's state machine. */
  Command = 1,
  /** A membership of the group, encoded by `encodeMembership`. */
  Membership = 2,
}

/** One entry of the replicated log. Index and term start at 1. @public */
export interface Entry {
  readonly index: number;
  readonly term: number;
  readonly kind: EntryKind;
  readonly data: Uint8Array;
}

/** Bytes an entry takes beside its data, for bounds of memory and messages. @internal */
const ENTRY_OVERHEAD_BYTES = 64;

/** Size of an entry as it counts against bounds, in bytes. @internal */
export function entryBytes(entry: Entry): number {
  return entry.data.byteLength + ENTRY_OVERHEAD_BYTES;
}
