import type { JournalRecord } from '@berylwood/base';

/** What a time line is narrowed to; all given parts must match. @public */
export interface Filter {
  readonly request?: string;
  readonly workspace?: string;
  readonly change?: string;
  readonly endpoint?: string;
  readonly process?: string;
}

/** Fields that tie records of the same matter together. */
const LINKING_FIELDS = ['request', 'attempt', 'change', 'index', 'order', 'window'] as const;

/** Identities that start a chain; a log index alone is shared by unrelated records. */
const CHAINED = new Set<string>(['request', 'attempt', 'change', 'order', 'window']);

function marksOf(record: JournalRecord): string[] {
  return LINKING_FIELDS.flatMap((name) => {
    const value = record.fields[name];
    return value === undefined ? [] : [`${name}:${String(value)}`];
  });
}

/** Records that share an identity with the seeds, directly or over other records. */
function connected(
  records: readonly JournalRecord[],
  seeds: readonly string[],
): Set<JournalRecord> {
  const marks = new Set(seeds);
  const found = new Set<JournalRecord>();
  for (let size = -1; size !== found.size;) {
    size = found.size;
    for (const record of records) {
      const own = marksOf(record);
      if (found.has(record) || !own.some((mark) => marks.has(mark))) continue;
      found.add(record);
      const chains = own.some((mark) => CHAINED.has(mark.split(':')[0] ?? ''));
      if (chains) own.forEach((mark) => marks.add(mark));
    }
  }
  return found;
}

/** Narrows a time line; requests and changes bring the records of their attempts and indices. @public */
export function filterRecords(records: readonly JournalRecord[], filter: Filter): JournalRecord[] {
  const { request, change, workspace, endpoint, process } = filter;
  const sets: Set<JournalRecord>[] = [];
  if (request) sets.push(connected(records, [`request:${request}`]));
  if (change) sets.push(connected(records, [`change:${change}`]));
  if (workspace) {
    const own = records.filter(({ fields }) => fields.workspace === workspace);
    const seeds = own.flatMap((record) =>
      marksOf(record).filter((mark) => !mark.startsWith('index:')),
    );
    sets.push(new Set([...own, ...connected(records, seeds)]));
  }
  return records.filter(
    (record) =>
      sets.every((set) => set.has(record)) &&
      (!endpoint || record.fields.endpoint === endpoint) &&
      (!process || record.process === process),
  );
}
