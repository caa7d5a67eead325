import type { Run } from './Run';
import type { Violation } from './Violation';

/**
 * A leaving endpoint got no new work after a time.
 * @param leavingSince - wall-clock time by endpoint.
 * @param limitMs - time in which new work may still arrive.
 * @public
 */
export function checkLeaving(
  runs: readonly Run[],
  leavingSince: ReadonlyMap<string, number>,
  limitMs: number,
): Violation[] {
  return runs.flatMap(({ endpoint, digest, at }) => {
    const lateMs = at - (leavingSince.get(endpoint) ?? Infinity);
    if (lateMs <= limitMs) return [];
    const detail = `${endpoint} got ${digest} ${lateMs} ms after it began to leave`;
    return [{ check: 'leaving', detail }];
  });
}
