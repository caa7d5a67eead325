import type { Failure, Random } from '@berylwood/base';
import { retryAfterMs } from '@berylwood/policy';
import { gatewayCodes } from './codes';

/** Default of the expected time until capacity is free again, in milliseconds: about one response of an engine. */
const RETRY_AFTER_BASE_MS = 600;

/**
 * Time after which a caller should retry after a failure, in milliseconds, or undefined if it should not.
 * @internal
 */
export function retryAfterOf(
  { code, retryAfterMs: expectedMs = RETRY_AFTER_BASE_MS }: Failure,
  leftMs: number,
  random: Random,
): number | undefined {
  if (code.status !== 503) return undefined;
  if (code === gatewayCodes.versionUnavailable) return 0;
  return retryAfterMs(expectedMs, Math.max(0, leftMs), random);
}
