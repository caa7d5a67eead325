import { MAX_NAMED, MAX_RANKS, REST, type DemandMessage } from './admissionMessages';

const askedOf = ([, , first, returning]: DemandMessage): number => first + returning;

const keyOf = ([rank, workspace]: DemandMessage): string => `${rank} ${workspace}`;

/** Sums demands of the same rank and workspace; the weight of the rest is the largest that is reported. */
function sum(demands: readonly DemandMessage[]): DemandMessage[] {
  const sums = new Map<string, DemandMessage>();
  for (const demand of demands) {
    const [rank, workspace, first, returning, admitted, served, weight] = demand;
    const before = sums.get(keyOf(demand)) ?? [rank, workspace, 0, 0, 0, 0, 1];
    sums.set(keyOf(demand), [
      rank,
      workspace,
      before[2] + first,
      before[3] + returning,
      before[4] + admitted,
      before[5] + served,
      Math.max(before[6], weight),
    ]);
  }
  return [...sums.values()];
}

function mergeRest(rest: readonly DemandMessage[]): DemandMessage[] {
  const ranks = [...new Set(rest.map(([rank]) => rank))];
  return ranks.flatMap((rank) => {
    const ranked = rest.filter(([other]) => other === rank);
    const weight = ranked.reduce((total, demand) => total + demand[6], 0);
    const merged = sum(
      ranked.map(([, , ...rates]): DemandMessage => {
        const [first, returning, admitted, served] = rates;
        return [rank, REST, first, returning, admitted, served, weight];
      }),
    );
    return merged;
  });
}

/** Demands of several instances by rank and workspace; only those of the largest demand are named. @internal */
export function mergeDemands(demands: readonly DemandMessage[]): DemandMessage[] {
  const summed = sum(demands);
  const named = summed
    .filter(([, workspace]) => workspace !== REST)
    .sort((a, b) => askedOf(b) - askedOf(a));
  const rest = summed.filter(([, workspace]) => workspace === REST);
  const unnamed = mergeRest([...rest, ...named.slice(MAX_NAMED)]);
  // A configuration with more ranks than fit is not expected; the smallest demands are left out.
  const kept = unnamed.sort((a, b) => askedOf(b) - askedOf(a)).slice(0, MAX_RANKS);
  return [...named.slice(0, MAX_NAMED), ...kept];
}
