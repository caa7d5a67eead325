import type { ClassDemand } from './ScalingTypes';

const SECONDS_PER_HOUR = 3_600;

/** Worth of the service that a capacity gives, in units of money an hour. @internal */
function servedValue(demands: readonly ClassDemand[], tokensPerSecond: number): number {
  // By tier, as the schedulers serve it; by worth per token within a tier.
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
 * Worth an hour of the last one of a number of endpoints, each with a capacity in tokens a second:
 * the service that would be missed without it.
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

/** Work asked for a second, in tokens. @internal */
export function tokenDemand({ requestsPerSecond, tokensPerRequest }: ClassDemand): number {
  return requestsPerSecond * tokensPerRequest;
}

function valuePerToken({ value, tokensPerRequest }: ClassDemand): number {
  return tokensPerRequest > 0 ? value / tokensPerRequest : 0;
}
