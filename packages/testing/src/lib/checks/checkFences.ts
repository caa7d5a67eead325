import type { HistoryRecord } from '../History';
import type { Violation } from './Violation';

/** Identity of an order or report, which a repeat keeps. */
function identify({ kind, fields }: HistoryRecord): string {
  return `${kind} ${String(kind === 'order' ? fields.order : fields.window)}`;
}

/**
 * A receiver got no order or report from an older fencing number after one from a newer, whether it
 * checks fences or not. What the receiver itself took twice does not count. Nor does a body that
 * the network held: the receiver had told the sender to go on before anything newer came, and the
 * newer sender has given the same order or report already.
 * @param history - history of one engine or of the platform.
 * @public
 */
export function checkFences(receiver: string, history: readonly HistoryRecord[]): Violation[] {
  const violations: Violation[] = [];
  const rises: { fence: number; at: number }[] = [];
  const taken = new Map<string, number>();
  for (const record of history) {
    const { at, kind, fields } = record;
    const { fence, headAt, repeated } = fields;
    const isFenced = kind === 'order' || kind === 'usage';
    if (!isFenced || typeof fence !== 'number' || repeated === true) continue;
    const newest = rises.at(-1)?.fence ?? -Infinity;
    const newerSince = rises.find((rise) => rise.fence > fence)?.at ?? Infinity;
    const isHeld = typeof headAt === 'number' && headAt < newerSince;
    const isRepeat = (taken.get(identify(record)) ?? -Infinity) > fence;
    if (fence < newest && !(isHeld && isRepeat)) {
      const order = `${receiver} got a ${kind} of fence ${fence} after ${newest} at ${at}`;
      const detail = `${order} (${identify(record)}, held: ${isHeld}, repeat: ${isRepeat})`;
      violations.push({ check: 'fences', detail });
    }
    if (fence > newest) rises.push({ fence, at });
    taken.set(identify(record), Math.max(fence, taken.get(identify(record)) ?? fence));
  }
  return violations;
}
