import type { FeedState } from '@berylwood/schema';
import { Packr, Unpackr } from 'msgpackr';
import type { Claim } from './Claims';
import type { Revision } from './ConfigurationHistory';
import { migrateSnapshot } from './migrations';
import type { Order } from './Orders';
import type { OutcomesState } from './Outcomes';
import type { SuspicionsState } from './Suspicions';
import type { UsageMarksState } from './UsageMarks';
import type { UsageWindowsState } from './UsageWindows';

/** Version of the format in which snapshots are written. */
const SNAPSHOT_VERSION = 2;

/** The complete replicated state, as written to disk and to backups. @internal */
export interface LedgerSnapshot {
  readonly version: typeof SNAPSHOT_VERSION;
  /** Latest time of any applied command, in wall-clock milliseconds. */
  readonly clock: number;
  /** Feed index of the last applied command. */
  readonly index: number;
  /** Feed index minus log index; restoring a backup increases it. */
  readonly offset: number;
  readonly feed: FeedState;
  readonly changes: OutcomesState;
  readonly history: readonly Revision[];
  readonly claims: readonly Claim[];
  readonly marks: UsageMarksState;
  readonly windows: UsageWindowsState;
  readonly orders: readonly Order[];
  readonly suspicions: SuspicionsState;
  /** Parts of a backup that is being restored. */
  readonly restoration?: Uint8Array;
}

const packr = new Packr({ useRecords: false });
const unpackr = new Unpackr({ useRecords: false });

/** @internal */
export function encodeSnapshot(state: Omit<LedgerSnapshot, 'version'>): Uint8Array {
  return packr.pack({ version: SNAPSHOT_VERSION, ...state });
}

/** Reads a snapshot of this or an earlier version. @internal */
export function decodeSnapshot(bytes: Uint8Array): LedgerSnapshot {
  return migrateSnapshot(unpackr.unpack(bytes), SNAPSHOT_VERSION) as LedgerSnapshot;
}
