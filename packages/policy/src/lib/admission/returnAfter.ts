/** Mean time before a return that is certain to be admitted, in milliseconds: a few rounds of the decision. */
const BASE_MS = 300;

/** Longest mean time before a return, in milliseconds. */
const MAX_MS = 2000;

/**
 * Mean time after which a rejected caller should return, in milliseconds: when the queue is back at its target,
 * and later the fewer of the returning callers are admitted, so that they don't add to the load in vain.
 * @param excessMs time by which the prefill of the queue exceeds its target
 * @param fraction fraction of the returning callers that is admitted
 * @public
 */
export function returnAfterMs(excessMs: number, fraction: number): number {
  return Math.min(MAX_MS, Math.max(0, excessMs) + BASE_MS / Math.max(0.1, fraction));
}
