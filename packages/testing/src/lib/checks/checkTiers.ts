import type { CallerRecord } from './CallerRecord';
import type { Violation } from './Violation';

/** Refusals for want of capacity; a workspace over its own limit is no shedding. */
const SHEDDING_ERRORS = new Set(['overloaded', 'preempted']);

/**
 * No request was shed while a request of a lower tier ran or waited in the same pool.
 * @param settleMs - time that lower work may need to arrive at, or to leave, all processes.
 * @public
 */
export function checkTiers(callers: readonly CallerRecord[], settleMs: number): Violation[] {
  const shed = callers.filter(({ error }) => error !== undefined && SHEDDING_ERRORS.has(error));
  const admitted = callers.filter(({ status }) => status === 200);
  return shed.flatMap((victim) => {
    const at = victim.endedAt;
    const lower = admitted.find(
      ({ pool, tier, sentAt, endedAt }) =>
        pool === victim.pool &&
        tier > victim.tier &&
        sentAt + settleMs <= at &&
        endedAt - settleMs >= at,
    );
    if (!lower) return [];
    const detail =
      `${victim.digest} of tier ${victim.tier} was shed at ${at} while ` +
      `${lower.digest} of tier ${lower.tier} ran or waited in ${lower.pool}`;
    return [{ check: 'tiers', detail }];
  });
}
