/** One of those among which a capacity is divided. @public */
export interface Claim {
  readonly demand: number;
  /** Amount that it gets in any case. */
  readonly floor: number;
  /** Number of workspaces that it stands for. */
  readonly weight: number;
}

/** Halvings of the interval of the level: the remaining error is far below one token. */
const ITERATIONS = 50;

const shareAt = ({ demand, floor, weight }: Claim, level: number): number =>
  Math.min(demand, Math.max(floor, level * weight));

/**
 * Max-min fair division: no claim gets more than it demands, and what one doesn't use goes to the others. The
 * sum exceeds the capacity only if the floors do.
 * @public
 */
export function divideFairly(claims: readonly Claim[], capacity: number): number[] {
  const sumAt = (level: number): number =>
    claims.reduce((sum, claim) => sum + shareAt(claim, level), 0);
  let high = Math.max(0, ...claims.map(({ demand, weight }) => demand / weight));
  if (sumAt(high) <= capacity) return claims.map(({ demand }) => demand);
  let low = 0;
  for (let iteration = 0; iteration < ITERATIONS; iteration += 1) {
    const middle = (low + high) / 2;
    if (sumAt(middle) <= capacity) low = middle;
    else high = middle;
  }
  return claims.map((claim) => shareAt(claim, low));
}
