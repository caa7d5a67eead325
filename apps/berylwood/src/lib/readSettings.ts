import { formatProblem, readToml } from '@berylwood/schema';
import type { z } from 'zod';
import { ExitCode } from './ExitCode';
import { CommandError } from './CommandError';

/**
 * Reads a settings file and validates it by a schema.
 * @throws CommandError that lists all problems of the file.
 * @internal
 */
export function readSettings<S extends z.ZodType>(schema: S, file: string): z.output<S> {
  const settings = readToml(schema, file);
  if (settings.isOk()) return settings.value;
  throw new CommandError(ExitCode.InvalidFile, settings.error.map(formatProblem).join('\n'));
}
