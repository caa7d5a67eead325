import type { HistoryRecord } from '../History';
import type { Violation } from './Violation';

/**
 * A receiver got no order or report from an older fencing number after one from a newer, whether it
 * checks fences or not. What the receiver itself took twice does not count.
 * @param history - history of one engine or of the platform.
 * @public
 */
export function checkFences(receiver: string, history: readonly HistoryRecord[]): Violation[] {
  const violations: Violation[] = [];
  let newest = -Infinity;
  for (const { at, kind, fields } of history) {
    const isFenced = kind === 'order' || kind === 'usage';
    if (!isFenced || typeof fields.fence !== 'number' || fields.repeated === true) continue;
    if (fields.fence < newest) {
      const detail = `${receiver} got a ${kind} of fence ${fields.fence} after ${newest} at ${at}`;
      violations.push({ check: 'fences', detail });
    }
    newest = Math.max(newest, fields.fence);
  }
  return violations;
}
