import { assert } from '@berylwood/base';

/** A stored record of any version, before validation. */
type StoredRecord = Record<string, unknown>;

/** Migrates a record from one version to the next. */
type Migration = (record: StoredRecord) => StoredRecord;

/** Version 1 stored the command without an envelope; version 2 adds one with the version. */
function wrapCommand(record: StoredRecord): StoredRecord {
  return { version: 2, command: record };
}

interface VersionOneUsage {
  readonly lines: [string, unknown][];
  readonly marks: [string, number][];
}

/** Version 1 stored outcomes without the index at which the change was executed. */
function addOutcomeIndex(
  [change, outcome]: [string, StoredRecord],
  index: number,
): [string, StoredRecord] {
  return [change, { index, outcome: { index, ...outcome } }];
}

/**
 * Version 1 counted usage without windows. Its lines become one window that starts at 0. Its marks
 * are kept, with no sequence numbers counted beyond them.
 */
function splitUsageIntoWindows(record: StoredRecord): StoredRecord {
  const { lines, marks } = record.usage as VersionOneUsage;
  const { index } = record.feed as { index: number };
  const outcomes = record.outcomes as [string, StoredRecord][];
  return {
    version: 2,
    clock: 0,
    index,
    offset: 0,
    feed: record.feed,
    changes: { horizon: 0, outcomes: outcomes.map((kept) => addOutcomeIndex(kept, index)) },
    history: [],
    claims: [],
    marks: marks.map(([run, mark]) => [run, { mark, beyond: [], at: 0 }]),
    windows: {
      windowMs: undefined,
      frozenUntil: 0,
      open: lines.length > 0 ? [[0, lines.map(([, line]) => line)]] : [],
      closed: [],
    },
    orders: [],
    suspicions: [],
  };
}

const commandMigrations: Record<number, Migration> = { 1: wrapCommand };

const snapshotMigrations: Record<number, Migration> = { 1: splitUsageIntoWindows };

function versionOf(record: StoredRecord): number {
  return typeof record.version === 'number' ? record.version : 1;
}

function migrate(
  record: StoredRecord,
  version: number,
  steps: Record<number, Migration>,
): StoredRecord {
  let current = record;
  assert(versionOf(current) <= version, `version ${versionOf(current)} is newer than ${version}`);
  while (versionOf(current) < version) {
    const step = steps[versionOf(current)];
    assert(step, `no step from version ${versionOf(current)}`);
    current = step(current);
  }
  return current;
}

/** Migrates a stored command to `version` and removes its envelope. @internal */
export function migrateCommand(record: unknown, version: number): unknown {
  return migrate(record as StoredRecord, version, commandMigrations).command;
}

/** Migrates a stored snapshot to `version`. @internal */
export function migrateSnapshot(record: unknown, version: number): unknown {
  return migrate(record as StoredRecord, version, snapshotMigrations);
}
