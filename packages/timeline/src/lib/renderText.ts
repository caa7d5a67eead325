import type { JournalRecord } from '@berylwood/base';

/** Formats the UTC time of day of a record, to the millisecond. @internal */
export function timeOf(record: JournalRecord): string {
  return new Date(record.stamp.wallMs).toISOString().slice(11, 23);
}

/** Formats the fields of a record as `name=value` pairs. @internal */
export function fieldsOf(record: JournalRecord): string {
  return Object.entries(record.fields)
    .filter(([, value]) => value !== undefined && value !== null)
    .map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`)
    .join(' ');
}

/** Renders a timeline as text with one record per line. @public */
export function renderText(records: readonly JournalRecord[]): string {
  const width = Math.max(0, ...records.map(({ process }) => process.length));
  return records
    .map((record) => {
      const { process, event, name } = record;
      return `${timeOf(record)} ${process.padEnd(width)} ${event} ${name} ${fieldsOf(record)}`.trimEnd();
    })
    .join('\n');
}
