import type { JournalRecord } from '@berylwood/base';
import { z } from 'zod';

const recordSchema = z.object({
  event: z.number().int(),
  name: z.string(),
  process: z.string(),
  incarnation: z.string(),
  stamp: z.object({ wallMs: z.number(), counter: z.number() }),
  fields: z.record(z.string(), z.unknown()),
});

function parseLine(line: string): unknown {
  try {
    return JSON.parse(line);
  } catch {
    return undefined;
  }
}

/**
 * Reads the records of a log, one JSON object a line, or of a JSON array. Lines that are no record
 * are passed over: other output may be mixed into a log, and its last line may be cut.
 * @public
 */
export function parseRecords(text: string): JournalRecord[] {
  const values = text.trimStart().startsWith('[')
    ? (JSON.parse(text) as unknown[])
    : text.split('\n').map(parseLine);
  return values.flatMap((value) => {
    const parsed = recordSchema.safeParse(value);
    return parsed.success ? [parsed.data] : [];
  });
}
