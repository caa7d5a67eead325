import { compareStamps, type JournalRecord } from '@berylwood/base';

function compareRecords(a: JournalRecord, b: JournalRecord): number {
  return compareStamps(a.stamp, b.stamp) || a.process.localeCompare(b.process);
}

/** Merges the records of several processes in causal order and removes duplicates. @public */
export function mergeRecords(logs: readonly (readonly JournalRecord[])[]): JournalRecord[] {
  const unique = new Map<string, JournalRecord>();
  for (const record of logs.flat()) {
    const { incarnation, stamp } = record;
    unique.set(`${incarnation} ${stamp.wallMs} ${stamp.counter}`, record);
  }
  return [...unique.values()].sort(compareRecords);
}
