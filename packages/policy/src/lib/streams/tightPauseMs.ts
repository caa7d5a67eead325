/**
 * A route is tight if an event during continuous prefill takes more than this fraction of its pause, and stays
 * tight above the second fraction. The distance absorbs changes of the estimate with the batch size.
 */
const ENTER_FRACTION = 0.8;
const LEAVE_FRACTION = 0.65;

/**
 * Longest pause that prefill endangers; routes with a pause up to it are tight. 0 if there is none.
 * @param pausesMs pauses that the routes of a pool allow; 0 means that a route states none
 * @param eventMs duration of an event while the engine prefills continuously
 * @param before the result of the previous call
 * @public
 */
export function tightPauseMs(pausesMs: readonly number[], eventMs: number, before: number): number {
  return Math.max(
    0,
    ...pausesMs.filter((pauseMs) => {
      const fraction = pauseMs <= before ? LEAVE_FRACTION : ENTER_FRACTION;
      return pauseMs > 0 && eventMs > fraction * pauseMs;
    }),
  );
}
