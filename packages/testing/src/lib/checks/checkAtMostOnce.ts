import type { Run } from './Run';
import type { Violation } from './Violation';

/**
 * Each non-idempotent request ran at most once over all endpoints.
 * @param digests - digests of the non-idempotent requests.
 * @public
 */
export function checkAtMostOnce(digests: Iterable<string>, runs: readonly Run[]): Violation[] {
  const nonIdempotent = new Set(digests);
  const endpoints = new Map<string, string[]>();
  for (const { digest, endpoint } of runs) {
    if (nonIdempotent.has(digest)) {
      endpoints.set(digest, [...(endpoints.get(digest) ?? []), endpoint]);
    }
  }
  return [...endpoints]
    .filter(([, places]) => places.length > 1)
    .map(([digest, places]) => ({
      check: 'atMostOnce',
      detail: `${digest} ran ${places.length} times: ${places.join(', ')}`,
    }));
}
