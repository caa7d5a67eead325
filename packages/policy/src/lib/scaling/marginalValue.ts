import type { ClassDemand } from './ScalingTypes';

const SECONDS_PER_HOUR = 3_600;

/** Value of the demand that a capacity serves, in units of money per hour. @internal */
function servedValue(demands: readonly ClassDemand[], tokensPerSecond: number): number {
  // By tier, as in the schedulers. Within a tier, by value per token.
  const ordered = [...demands].sort(
    (a, b) => a.tier - b.tier || valuePerToken(b) - valuePerToken(a),
  );
  let unused = tokensPerSecond;
  let total = 0;
  for (const demand of ordered) {
    const served = Math.min(unused, tokenDemand(demand));
    total += served * valuePerToken(demand) * SECONDS_PER_HOUR;
    unused -= served;
  }
  return total;
}

/**
 * Value per hour of the last of a number of endpoints: the value of the service that would be lost
 * without it.
 * @param tokensPerSecond capacity of each endpoint
 * @internal
 */
export function marginalValue(
  demands: readonly ClassDemand[],
  endpoints: number,
  tokensPerSecond: number,
): number {
  const without = servedValue(demands, (endpoints - 1) * tokensPerSecond);
  return servedValue(demands, endpoints * tokensPerSecond) - without;
}

/** Demanded work, in tokens per second. @internal */
export function tokenDemand({ requestsPerSecond, tokensPerRequest }: ClassDemand): number {
  return requestsPerSecond * tokensPerRequest;
}

function valuePerToken({ value, tokensPerRequest }: ClassDemand): number {
  return tokensPerRequest > 0 ? value / tokensPerRequest : 0;
}
