import { formatProblem, readToml, settingsSchema, type Settings } from '@berylwood/schema';
import { ExitCode } from './ExitCode';
import { CommandError } from './CommandError';

/**
 * Reads and validates a settings file.
 * @throws CommandError that lists all problems of the file.
 * @internal
 */
export function readSettings(file: string): Settings {
  const settings = readToml(settingsSchema, file);
  if (settings.isOk()) return settings.value;
  throw new CommandError(ExitCode.InvalidFile, settings.error.map(formatProblem).join('\n'));
}
