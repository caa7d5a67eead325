import type { Random } from '@berylwood/base';

/** Shortest time after which a place may have come free, in milliseconds: about one short answer. */
const MIN_RETRY_AFTER_MS = 150;

/** Callers wait at most this share of the time they have left. */
const MAX_SHARE_OF_TIME_LEFT = 1 / 3;

/**
 * Time after which a refused caller should return, in milliseconds. Load pattern: a burst refuses
 * many callers at the same moment; if all returned together they would be refused together again,
 * so each gets a time drawn from the span in which room will come.
 * @param capacityInMs time in which room for all that were refused is expected to come
 * @param leftMs time that the caller has left
 * @public
 */
export function retryAfterMs(capacityInMs: number, leftMs: number, random: Random): number {
  const latest = Math.max(
    MIN_RETRY_AFTER_MS,
    Math.min(2 * capacityInMs, leftMs * MAX_SHARE_OF_TIME_LEFT),
  );
  return random.between(Math.min(MIN_RETRY_AFTER_MS, latest), latest);
}
