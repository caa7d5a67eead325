import type { AttemptItem } from './AttemptItem';

/**
 * The running attempt to preempt for one of a higher tier: of the lowest tier, and there the one
 * with the least work done, whose prompt is the cheapest to read again. Never one of the same or a
 * higher tier, one that has been preempted as often as allowed, or one on its class's minimum.
 * @internal
 */
export function selectVictim(
  running: readonly AttemptItem[],
  tier: number,
  maxPreemptions: number,
): AttemptItem | undefined {
  let victim: AttemptItem | undefined;
  for (const item of running) {
    if (item.tier <= tier || !item.isPreemptable(maxPreemptions)) continue;
    if (!victim || isBetterVictim(item, victim)) victim = item;
  }
  return victim;
}

function isBetterVictim(item: AttemptItem, victim: AttemptItem): boolean {
  if (item.tier !== victim.tier) return item.tier > victim.tier;
  return item.doneTokens < victim.doneTokens;
}
