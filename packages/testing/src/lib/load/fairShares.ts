/** A party that wants a part of a capacity. @public */
export interface Demand {
  readonly name: string;
  readonly demand: number;
  /** Weight among the parties. */
  readonly share: number;
}

/**
 * Weighted max-min fair parts of a capacity: nobody gets more than the demand, and what one leaves
 * goes to the others by their shares.
 * @public
 */
export function fairShares(demands: readonly Demand[], capacity: number): Map<string, number> {
  const parts = new Map<string, number>();
  let left = capacity;
  let open = [...demands].sort((a, b) => a.demand / a.share - b.demand / b.share);
  while (open.length > 0) {
    const [first, ...others] = open as [Demand, ...Demand[]];
    const shares = open.reduce((sum, { share }) => sum + share, 0);
    const part = Math.min(first.demand, (left * first.share) / shares);
    parts.set(first.name, part);
    left -= part;
    open = others;
  }
  return parts;
}
