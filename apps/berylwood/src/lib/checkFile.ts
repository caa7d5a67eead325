import { readFileSync } from 'node:fs';
import {
  customerListSchema,
  formatProblem,
  planListSchema,
  readToml,
  settingsSchema,
  type Problem,
} from '@berylwood/schema';
import { loadScenarioSchema } from '@berylwood/testing';
import type { z } from 'zod';

/** Chooses the schema of a file by the tables that it has. */
function schemaOf(file: string): z.ZodType {
  let text = '';
  try {
    text = readFileSync(file, 'utf8');
  } catch {
    // The reader reports it.
  }
  if (/^\s*\[\s*load\s*\]/m.test(text)) return loadScenarioSchema;
  if (/^\s*\[+\s*customers\b/m.test(text)) return customerListSchema;
  if (/^\s*\[+\s*(plans|classes)\b/m.test(text)) return planListSchema;
  return settingsSchema;
}

/** Problems of a settings file, operator list or load scenario, as lines for a person. @internal */
export function checkFile(file: string): string[] {
  const parsed = readToml(schemaOf(file), file);
  return parsed.isOk() ? [] : parsed.error.map((problem: Problem) => formatProblem(problem));
}
