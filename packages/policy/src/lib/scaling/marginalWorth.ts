import type { ClassDemand } from './ScalingTypes';

const SECONDS_PER_HOUR = 3_600;

/** Worth of the service that a capacity gives, in units of money an hour. @internal */
function servedWorth(demands: readonly ClassDemand[], tokensPerSecond: number): number {
  // By tier, as the schedulers serve it; by worth per token within a tier.
  const ordered = [...demands].sort(
    (a, b) => a.tier - b.tier || worthPerToken(b) - worthPerToken(a),
  );
  let left = tokensPerSecond;
  let worth = 0;
  for (const demand of ordered) {
    const served = Math.min(left, tokensOf(demand));
    worth += served * worthPerToken(demand) * SECONDS_PER_HOUR;
    left -= served;
  }
  return worth;
}

/**
 * Worth an hour of the last one of a number of endpoints, each with a capacity in tokens a second:
 * the service that would be missed without it.
 * @internal
 */
export function marginalWorth(
  demands: readonly ClassDemand[],
  endpoints: number,
  tokensPerSecond: number,
): number {
  const without = servedWorth(demands, (endpoints - 1) * tokensPerSecond);
  return servedWorth(demands, endpoints * tokensPerSecond) - without;
}

/** Work asked for a second, in tokens. @internal */
export function tokensOf({ requestsPerSecond, tokensPerRequest }: ClassDemand): number {
  return requestsPerSecond * tokensPerRequest;
}

function worthPerToken({ value, tokensPerRequest }: ClassDemand): number {
  return tokensPerRequest > 0 ? value / tokensPerRequest : 0;
}
