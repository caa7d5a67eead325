/** Longest part of what others send that is quoted in a log line, in characters. */
const MAX_QUOTED_LENGTH = 80;

/** Shortens what another process has sent, for a log line. @internal */
export function quoteForLog(text: string): string {
  return text.slice(0, MAX_QUOTED_LENGTH);
}
