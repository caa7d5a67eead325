import type { Random } from '@berylwood/base';

/** Shortest delay before a retry, in milliseconds: a short response takes about as long. */
const MIN_RETRY_AFTER_MS = 150;

/** Largest fraction of its remaining time that a caller is asked to wait. */
const MAX_SHARE_OF_TIME_LEFT = 1 / 3;

/**
 * Time after which a rejected caller should retry, in milliseconds. Load pattern: in a burst, many
 * callers are rejected at the same moment. If all retried together, they would be rejected together
 * again. Each caller therefore gets a random delay within the time in which capacity becomes free.
 * @param capacityInMs expected time until there is capacity for all rejected callers
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
