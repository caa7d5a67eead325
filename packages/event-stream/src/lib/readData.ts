/** Ends of lines that a reader knows. */
const LINE_END = /\r\n|\n|\r/;

const DATA_LINE = /^data(?:: ?(.*))?$/s;

/** Returns the data of a complete event, as a reader of the published specification does. @public */
export function readData(event: Buffer): string {
  const values: string[] = [];
  for (const line of event.toString('utf8').split(LINE_END)) {
    const match = DATA_LINE.exec(line);
    if (match) values.push(match[1] ?? '');
  }
  return values.join('\n');
}
