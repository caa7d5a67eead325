import { readFileSync } from 'node:fs';
import { err, ok, type Result } from 'neverthrow';
import { TomlError, parse } from 'smol-toml';
import type { z } from 'zod';
import { locate, type Step } from './locate';
import { nearestName, toCamelCase, toSnakeCase } from './naming';
import type { Problem } from './Problem';

/** Tables whose keys are names chosen by the operator, which are not converted to camel case. */
const NAMED_TABLES = new Set(['customers', 'plans', 'classes', 'models', 'services']);

function camelize(value: unknown, keepKeys = false): unknown {
  if (Array.isArray(value)) return value.map((item) => camelize(item));
  if (value === null || typeof value !== 'object' || value instanceof Date) return value;
  return Object.fromEntries(
    Object.entries(value).map(([key, item]) => [
      keepKeys ? key : toCamelCase(key),
      camelize(item, !keepKeys && NAMED_TABLES.has(key)),
    ]),
  );
}

function writtenPath(path: readonly Step[]): Step[] {
  return path.map((step, index) => {
    if (typeof step === 'number') return step;
    return NAMED_TABLES.has(String(path[index - 1])) ? step : toSnakeCase(step);
  });
}

function formatPath(path: readonly Step[]): string {
  return path
    .map((step) => (typeof step === 'number' ? `[${step}]` : `.${step}`))
    .join('')
    .slice(1);
}

/** Field names that the schema allows at a path, for the hint about a misspelt name. */
function allowedNames(schema: z.ZodType, path: readonly Step[]): string[] {
  let current = schema as unknown as { def: Record<string, unknown> } | undefined;
  const unwrap = (): void => {
    while (current && 'innerType' in current.def) current = current.def.innerType as typeof current;
  };
  unwrap();
  for (const step of path) {
    const { shape, element, valueType } = current?.def ?? {};
    const next = (shape as Record<string, unknown> | undefined)?.[step] ?? element ?? valueType;
    current = next as typeof current;
    unwrap();
  }
  return Object.keys((current?.def.shape as object | undefined) ?? {}).map(toSnakeCase);
}

function issueProblems(file: string, text: string, schema: z.ZodType, issue: z.core.$ZodIssue) {
  const path = issue.path.filter((step): step is Step => typeof step !== 'symbol');
  const written = writtenPath(path);
  if (issue.code !== 'unrecognized_keys') {
    const line = locate(text, written);
    return [{ file, line, path: formatPath(written), message: issue.message }];
  }
  const allowed = allowedNames(schema, path);
  return issue.keys.map((key): Problem => {
    const name = toSnakeCase(key);
    const nearest = nearestName(name, allowed);
    const hint = nearest
      ? `; did you mean "${nearest}"?`
      : `; expected one of ${allowed.join(', ')}`;
    const fullPath = [...written, name];
    const line = locate(text, fullPath);
    return { file, line, path: formatPath(fullPath), message: `unknown field${hint}` };
  });
}

/**
 * Parses and validates a TOML text. Field names are snake case in the file and camel case in the
 * result. Returns all problems found by the validation, or only the first syntax error.
 * @public
 */
export function parseToml<S extends z.ZodType>(
  schema: S,
  text: string,
  file: string,
): Result<z.output<S>, Problem[]> {
  let document: unknown;
  try {
    document = parse(text);
  } catch (error) {
    if (!(error instanceof TomlError)) throw error;
    const message = error.message.split('\n')[0] ?? 'not valid TOML';
    return err([{ file, line: error.line, path: '', message }]);
  }
  const parsed = schema.safeParse(camelize(document));
  if (parsed.success) return ok(parsed.data);
  return err(parsed.error.issues.flatMap((issue) => issueProblems(file, text, schema, issue)));
}

/** Reads, parses and validates a TOML file. An unreadable file is returned as a problem. @public */
export function readToml<S extends z.ZodType>(
  schema: S,
  file: string,
): Result<z.output<S>, Problem[]> {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (error) {
    const message = `can not be read (${(error as NodeJS.ErrnoException).code ?? 'error'})`;
    return err([{ file, line: 0, path: '', message }]);
  }
  return parseToml(schema, text, file);
}
