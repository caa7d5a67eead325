import type { Endpoint } from './Endpoint';

/**
 * Requests per second that endpoints accept by their limits; one that pauses, or has none, counts as none.
 * @internal
 */
export function sumOpenLimits(endpoints: readonly Endpoint[]): number {
  return endpoints
    .filter(({ statements }) => statements.pausedMs === 0)
    .map(({ statements }) => statements.requestsPerS)
    .filter(Number.isFinite)
    .reduce((sum, limit) => sum + limit, 0);
}

/**
 * Share of the requests of some endpoints that those which may be used accept, by their limits.
 * @internal
 */
export function shareOf(
  endpoints: readonly Endpoint[],
  allows: (endpoint: Endpoint) => boolean,
): number {
  const limitPerS = sumOpenLimits(endpoints.filter(allows));
  return limitPerS === 0 ? 0 : limitPerS / sumOpenLimits(endpoints);
}
