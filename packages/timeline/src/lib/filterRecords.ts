import type { JournalRecord } from '@berylwood/base';

/** Criteria for records of a timeline; a record must match all that are set. @public */
export interface Filter {
  readonly request?: string;
  readonly workspace?: string;
  readonly change?: string;
  readonly endpoint?: string;
  readonly process?: string;
}

/** Fields whose equal values relate records to each other. */
const CORRELATION_FIELDS = ['request', 'attempt', 'change', 'index', 'order', 'window'] as const;

/**
 * Fields through which records are followed transitively. A record with only a log index is matched,
 * but not followed further, since unrelated records can share an index.
 */
const TRANSITIVE_FIELDS = new Set<string>(['request', 'attempt', 'change', 'order', 'window']);

function correlationIdsOf(record: JournalRecord): string[] {
  return CORRELATION_FIELDS.flatMap((name) => {
    const value = record.fields[name];
    return value === undefined ? [] : [`${name}:${String(value)}`];
  });
}

/** Finds the records that share a correlation id with the seeds, directly or through other records. */
function findConnected(
  records: readonly JournalRecord[],
  seeds: readonly string[],
): Set<JournalRecord> {
  const knownIds = new Set(seeds);
  const found = new Set<JournalRecord>();
  for (let size = -1; size !== found.size;) {
    size = found.size;
    for (const record of records) {
      const ids = correlationIdsOf(record);
      if (found.has(record) || !ids.some((id) => knownIds.has(id))) continue;
      found.add(record);
      const isTransitive = ids.some((id) => TRANSITIVE_FIELDS.has(id.split(':')[0] ?? ''));
      if (isTransitive) ids.forEach((id) => knownIds.add(id));
    }
  }
  return found;
}

/**
 * Filters a timeline. The filters by request, change and workspace include related records, such as
 * those of a request's attempts or at a change's log index.
 * @public
 */
export function filterRecords(records: readonly JournalRecord[], filter: Filter): JournalRecord[] {
  const { request, change, workspace, endpoint, process } = filter;
  const sets: Set<JournalRecord>[] = [];
  if (request) sets.push(findConnected(records, [`request:${request}`]));
  if (change) sets.push(findConnected(records, [`change:${change}`]));
  if (workspace) {
    const workspaceRecords = records.filter(({ fields }) => fields.workspace === workspace);
    const seeds = workspaceRecords.flatMap((record) =>
      correlationIdsOf(record).filter((id) => !id.startsWith('index:')),
    );
    sets.push(new Set([...workspaceRecords, ...findConnected(records, seeds)]));
  }
  return records.filter(
    (record) =>
      sets.every((set) => set.has(record)) &&
      (!endpoint || record.fields.endpoint === endpoint) &&
      (!process || record.process === process),
  );
}
