import { assert } from '@berylwood/base';

/** A record of some version, before it is validated. */
type Stored = Record<string, unknown>;

/** One step from a version to the next. */
type Step = (record: Stored) => Stored;

/** Version 1 wrote the command bare; from version 2 on it stands in an envelope. */
function wrapCommand(record: Stored): Stored {
  return { version: 2, command: record };
}

interface VersionOneUsage {
  readonly lines: [string, unknown][];
  readonly marks: [string, number][];
}

/** Version 1 kept outcomes without the index of their execution. */
function keepWithIndex([change, outcome]: [string, Stored], index: number): [string, Stored] {
  return [change, { index, outcome: { index, ...outcome } }];
}

/**
 * Version 1 counted usage without windows: its lines become those of one window that starts at 0,
 * and its marks are taken over with no sequence counted beyond them.
 */
function splitUsageIntoWindows(record: Stored): Stored {
  const { lines, marks } = record.usage as VersionOneUsage;
  const { index } = record.feed as { index: number };
  const outcomes = record.outcomes as [string, Stored][];
  return {
    version: 2,
    clock: 0,
    index,
    offset: 0,
    feed: record.feed,
    changes: { horizon: 0, outcomes: outcomes.map((kept) => keepWithIndex(kept, index)) },
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

const commandSteps: Record<number, Step> = { 1: wrapCommand };

const snapshotSteps: Record<number, Step> = { 1: splitUsageIntoWindows };

function versionOf(record: Stored): number {
  return typeof record.version === 'number' ? record.version : 1;
}

function migrate(record: Stored, version: number, steps: Record<number, Step>): Stored {
  let current = record;
  assert(versionOf(current) <= version, `version ${versionOf(current)} is newer than ${version}`);
  while (versionOf(current) < version) {
    const step = steps[versionOf(current)];
    assert(step, `no step from version ${versionOf(current)}`);
    current = step(current);
  }
  return current;
}

/** Brings a stored command to the version and takes it out of its envelope. @internal */
export function migrateCommand(record: unknown, version: number): unknown {
  return migrate(record as Stored, version, commandSteps).command;
}

/** Brings a stored snapshot to the version. @internal */
export function migrateSnapshot(record: unknown, version: number): unknown {
  return migrate(record as Stored, version, snapshotSteps);
}
