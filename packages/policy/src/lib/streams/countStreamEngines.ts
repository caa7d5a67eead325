/** Pools with fewer engines are not split. @public */
export const MIN_ENGINES_TO_SPLIT = 4;

/** Fraction of an engine's slots that tight streams are planned to use. */
const SLOT_FRACTION = 0.5;

/** Fraction of an engine's time that the prompts of its own streams may take, since each delays all events. */
const PREFILL_FRACTION = 0.35;

/** Fraction of an engine's time that other prompts are planned to take. */
const OTHER_PREFILL_FRACTION = 0.85;

/** Covers the unequal distribution over the engines and the growth of the load between two decisions. */
const HEADROOM = 1.15;

/** Below this rate of prompt tokens there is nothing that streams need protection from. */
const MIN_OTHER_TOKENS_PER_S = 1;

/** Demand of a pool from all instances. @public */
export interface StreamDemand {
  /** Engines in service. */
  readonly engines: number;
  /** Requests that one engine runs concurrently. */
  readonly slots: number;
  /** Streams with a tight pause that run or wait. */
  readonly runningTight: number;
  /** Prompt tokens of tight streams that have to be prefilled, per second. */
  readonly tightTokensPerS: number;
  /** Prompt tokens of other requests that have to be prefilled, per second. */
  readonly otherTokensPerS: number;
  readonly prefillMsPerToken: number;
}

/**
 * Number of engines that the tight streams of a pool need; 0 if the pool does not have to be split. Load
 * pattern: streams whose events must not be delayed by more than a few steps, beside prompts that take several
 * steps each. If both kinds need more engines than there are, the engines are divided in proportion.
 * @public
 */
export function countStreamEngines(demand: StreamDemand): number {
  const { engines, slots, runningTight, tightTokensPerS, otherTokensPerS } = demand;
  if (engines < MIN_ENGINES_TO_SPLIT || otherTokensPerS < MIN_OTHER_TOKENS_PER_S) return 0;
  const prefillS = demand.prefillMsPerToken / 1000;
  const forSlots = runningTight / (SLOT_FRACTION * Math.max(1, slots));
  const forPrompts = (tightTokensPerS * prefillS) / PREFILL_FRACTION;
  const needed = Math.max(forSlots, forPrompts) * HEADROOM;
  if (needed <= 0) return 0;
  const others = Math.max(1, (otherTokensPerS * prefillS) / OTHER_PREFILL_FRACTION);
  const fair = needed + others > engines ? (engines * needed) / (needed + others) : needed;
  return Math.min(engines - 1, Math.max(1, Math.ceil(fair)));
}
