import type { AttemptItem } from './AttemptItem';

/**
 * Selects the running attempt to preempt for one of a higher tier: from the lowest tier, the one with
 * the least work done, because its prompt is the cheapest to process again. Never selects one of the
 * same or a higher tier, one that has reached `maxPreemptions`, or one that was started for its
 * class's guaranteed minimum share.
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
