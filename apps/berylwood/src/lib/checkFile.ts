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

/** Selects the schema of a file by the TOML tables that it contains. */
function schemaOf(file: string): z.ZodType {
  let text = '';
  try {
    text = readFileSync(file, 'utf8');
  } catch {
    // `readToml` reports the error.
  }
  if (/^\s*\[\s*load\s*\]/m.test(text)) return loadScenarioSchema;
  if (/^\s*\[+\s*customers\b/m.test(text)) return customerListSchema;
  if (/^\s*\[+\s*(plans|classes)\b/m.test(text)) return planListSchema;
  return settingsSchema;
}

/**
 * Validates a settings file, list of plans or customers, or load scenario, and returns one
 * human-readable line per problem.
 * @internal
 */
export function checkFile(file: string): string[] {
  const parsed = readToml(schemaOf(file), file);
  return parsed.isOk() ? [] : parsed.error.map((problem: Problem) => formatProblem(problem));
}
