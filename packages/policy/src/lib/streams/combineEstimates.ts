/** An estimate with the number of recent observations behind it. @public */
export interface WeightedEstimate {
  readonly value: number;
  readonly weight: number;
}

/**
 * The weighted median of the estimates of all instances, so that a slow instance, which observes every gap
 * late, does not decide alone. Undefined if they are based on fewer observations than `minWeight`.
 * @public
 */
export function combineEstimates(
  estimates: readonly WeightedEstimate[],
  minWeight: number,
): number | undefined {
  const total = estimates.reduce((sum, { weight }) => sum + weight, 0);
  if (total < minWeight) return undefined;
  let left = total / 2;
  return [...estimates]
    .sort((a, b) => a.value - b.value)
    .find(({ weight }) => {
      left -= weight;
      return left <= 0;
    })?.value;
}
