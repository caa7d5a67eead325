import type { JournalRecord } from '@berylwood/base';

/** Time of day of a stamp, to the millisecond, in UTC. @internal */
export function timeOf(record: JournalRecord): string {
  return new Date(record.stamp.wallMs).toISOString().slice(11, 23);
}

/** Fields of a record as `name=value`. @internal */
export function fieldsOf(record: JournalRecord): string {
  return Object.entries(record.fields)
    .filter(([, value]) => value !== undefined && value !== null)
    .map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`)
    .join(' ');
}

/** Draws a time line as text, one record a line. @public */
export function renderText(records: readonly JournalRecord[]): string {
  const width = Math.max(0, ...records.map(({ process }) => process.length));
  return records
    .map((record) => {
      const { process, event, name } = record;
      return `${timeOf(record)} ${process.padEnd(width)} ${event} ${name} ${fieldsOf(record)}`.trimEnd();
    })
    .join('\n');
}
