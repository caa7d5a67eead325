/** Factors within these bounds are not told apart from 1, so that even pools are served as such. */
const MIN_EQUAL = 0.85;
const MAX_EQUAL = 1.15;

/** Returns a factor of speed or duration, or 1 if it is close to 1 or cannot be used. @public */
export function toSignificantFactor(factor: number | undefined): number {
  if (factor === undefined || !Number.isFinite(factor) || factor <= 0) return 1;
  return factor >= MIN_EQUAL && factor <= MAX_EQUAL ? 1 : factor;
}
