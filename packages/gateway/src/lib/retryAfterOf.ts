import type { Failure, Random } from '@berylwood/base';
import { retryAfterMs } from '@berylwood/policy';

/** Expected time until capacity is free again, in milliseconds: about one response of an engine. */
const RETRY_AFTER_BASE_MS = 600;

/**
 * Time after which a caller should retry after a failure, in milliseconds, or undefined if it should not.
 * @internal
 */
export function retryAfterOf(
  { code }: Failure,
  leftMs: number,
  random: Random,
): number | undefined {
  if (code.status !== 503) return undefined;
  return retryAfterMs(RETRY_AFTER_BASE_MS, Math.max(0, leftMs), random);
}
