/** Longest timeout of a server of Node.js, in milliseconds; 24 days. */
const MAX_TIMEOUT_MS = 2 ** 31 - 1;

/** Converts a timeout into one that a server of Node.js accepts; to it, 0 and fractions mean none. @internal */
export function toServerTimeoutMs(timeoutMs: number): number {
  return Math.min(MAX_TIMEOUT_MS, Math.max(1, Math.ceil(timeoutMs)));
}
