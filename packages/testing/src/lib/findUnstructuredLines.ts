/** Start of every log line, as pino writes it. */
const LINE_START = '{"level":';

function isLogLine(line: string): boolean {
  try {
    const { event, name } = JSON.parse(line) as { event?: unknown; name?: unknown };
    return Number.isInteger(event) && typeof name === 'string' && name !== '';
  } catch {
    return false;
  }
}

/**
 * Returns the lines of a process's output that are no numbered events of its log, such as warnings of Node.js and
 * stack traces.
 * @param isKilled - whether SIGKILL ended the process.
 * @internal
 */
export function findUnstructuredLines(output: string, isKilled: boolean): string[] {
  const lines = output.split('\n');
  const unfinished = lines.pop() ?? '';
  const found = lines.filter((line) => !isLogLine(line));
  if (unfinished === '') return found;
  // SIGKILL can cut the line that is being written.
  const isCut =
    isKilled && (unfinished.startsWith(LINE_START) || LINE_START.startsWith(unfinished));
  return isCut ? found : [...found, unfinished];
}
