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
 * Parses journal records from a log with one JSON object per line, or from a JSON array. Skips lines
 * that are not records, since a log can contain other output and end with a truncated line.
 * @throws SyntaxError if a text that starts with `[` is not valid JSON.
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
