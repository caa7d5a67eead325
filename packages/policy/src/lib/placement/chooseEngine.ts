import { toSignificantFactor } from '../engines/toSignificantFactor';
import { rankByHash } from './chooseEndpoint';

/** State of a model engine that is a candidate for a request. @public */
export interface EngineView {
  /** Key for the ranking by hash. It is the same on all instances. */
  readonly key: string;
  /** Estimated prompt tokens from all instances that wait for prefill there. */
  readonly queuedTokens: number;
  /** Requests from all instances that run or wait there. */
  readonly running: number;
  /** Requests that the engine runs concurrently. */
  readonly slots: number;
  /** Whether the engine is in the same data centre as the deciding instance. */
  readonly isLocal: boolean;
  /** Lasting speed in relation to the pool; 1 if missing. */
  readonly speed?: number;
  /** Factor of the usual time that work takes there at this moment; 1 if missing. */
  readonly momentary?: number;
}

/** Work of a prompt that placement takes into account. @public */
export interface PromptCost {
  /** The longest part that is shared with other requests; undefined if there is none. */
  readonly sharedPart: string | undefined;
  /** Tokens of the shared part, which an engine prefills unless it has them cached. */
  readonly sharedTokens: number;
  /** Tokens that every engine has to prefill. */
  readonly ownTokens: number;
  /** Expected length of the response, in tokens. */
  readonly answerTokens: number;
}

/** Options of the choice of an engine. @public */
export interface EngineOptions {
  /** Prompt tokens that are prefilled in one batch step. */
  readonly chunkTokens: number;
  /** Duration of a batch step with one chunk of prompt tokens, in milliseconds. */
  readonly stepMs: number;
  /** Time that each running request adds to a batch step, in milliseconds. */
  readonly stepMsPerRequest: number;
  /** Learnt factor of the time that a prefill takes by the durations above; 1 if they hold. */
  readonly prefillFactor: number;
  /** Duration of a batch step without prefill and with few requests, in milliseconds. */
  readonly decodeStepMs: number;
  /**
   * Probabilities that an engine has a shared part cached, by the rank of the engine for that part.
   * Engines of later ranks are assumed not to have it.
   */
  readonly cacheHitProbabilities: readonly number[];
  /**
   * Weight of tokens that are recomputed because a prompt leaves its preferred engine. Recomputing
   * also delays every prompt that is queued behind them.
   */
  readonly recomputeWeight: number;
  /** Weight of the time by which the batch delays the response; 0 ignores batches. */
  readonly batchWeight: number;
  /** Mean time for which a request holds a slot, in milliseconds. */
  readonly slotHoldMs: number;
  /** Cost of traffic to an engine in another data centre, in milliseconds. */
  readonly remoteCostMs: number;
}

/** Default options. The durations of a step are taken from the engines' data sheet. @public */
export const DEFAULT_ENGINE_OPTIONS: EngineOptions = {
  chunkTokens: 1024,
  stepMs: 15.5,
  stepMsPerRequest: 0.11,
  prefillFactor: 1,
  decodeStepMs: 4.4,
  cacheHitProbabilities: [1, 0.5, 0.25],
  recomputeWeight: 150,
  batchWeight: 1,
  slotHoldMs: 1600,
  remoteCostMs: 0,
};

/** Expected tokens to prefill, given the probability that the shared part is cached. */
function expectedPrefillTokens(
  { ownTokens, sharedTokens }: PromptCost,
  cacheHitProbability: number,
): number {
  return ownTokens + sharedTokens * (1 - cacheHitProbability);
}

/**
 * Time by which a batch delays the response, in milliseconds. Each request of the batch lengthens
 * each of its steps. If no slot is free, the response also waits for one, or takes one from another
 * request.
 */
function batchDelayMs(
  { answerTokens }: PromptCost,
  view: EngineView,
  options: EngineOptions,
): number {
  const slowerMs = answerTokens * options.stepMsPerRequest * Math.min(view.running, view.slots);
  // A full batch of few slots releases them less often than one of many.
  const slotReleaseMs = options.slotHoldMs / view.slots;
  const waitMs = Math.max(0, view.running + 1 - view.slots) * slotReleaseMs;
  return slowerMs + waitMs;
}

/**
 * Work in milliseconds that a momentary figure affects. It says nothing about later work: an engine is slow
 * for periods of about 600 ms, of which half have passed on average.
 */
const MOMENTARY_SPAN_MS = 300;

/**
 * Time by which the response takes longer because the engine is slow at this moment, in milliseconds. It is exactly
 * 0 if it isn't, so that endpoints without a momentary figure are served as before.
 */
function momentaryDelayMs(
  { answerTokens }: PromptCost,
  momentary: number,
  workMs: number,
  options: EngineOptions,
): number {
  const affectedMs = Math.min(MOMENTARY_SPAN_MS, workMs + answerTokens * options.decodeStepMs);
  return affectedMs * (momentary - 1);
}

/** The chosen engine, with the expected work of the prompt there. @public */
export interface EngineChoice<P extends EngineView> {
  readonly view: P;
  /** Prompt tokens that the engine is expected to prefill. */
  readonly tokens: number;
  /** Time until the engine has prefilled the prompt by the data sheet, in milliseconds. */
  readonly prefillMs: number;
  /** The same as expected from what is learnt about the engine and its pool. */
  readonly expectedMs: number;
  /** Prompt tokens to be prefilled until then, those queued before it and its own. */
  readonly queuedTokens: number;
}

/** Engines drawn for a prompt on an uneven pool. */
const DRAWN_ENGINES = 2;

/**
 * The engines among which one is chosen: all of an even pool. Of an uneven one, the preferred engines and two that
 * are drawn in proportion to their speeds, or all if those are full. Load pattern: views are some hundred
 * milliseconds old, so that all instances would choose the fastest idle engine or the one that has just
 * ended a slow period, at the same time. In a simulation of that, the median time to the first event fell from 340
 * to 213 ms. As the draw takes the speeds into account, queues and batches are compared as they are: equal
 * ones then mean equal utilization, whereas equal waits would give fast engines more than their share.
 */
function selectCandidates<P extends EngineView>(
  views: readonly P[],
  preferred: readonly P[],
  draw: number,
): readonly P[] {
  const isUneven = views.some(
    ({ speed, momentary }) =>
      toSignificantFactor(speed) !== 1 || toSignificantFactor(momentary) !== 1,
  );
  if (!isUneven) return views;
  const selected = new Set([...preferred, ...rankByHash(views, `draw/${draw}`, DRAWN_ENGINES)]);
  const isFull = [...selected].every(({ running, slots }) => running >= slots);
  return isFull ? views : [...selected];
}

/**
 * Chooses the engine that is expected to complete the response first. Load patterns:
 * - Bursts of long prompts with large shared parts, few of which are cached yet. The queue of an
 *   engine is counted in tokens to prefill over all instances, since prompts differ in length by a
 *   factor of a hundred. Outside its preferred engines, a prompt's shared part has to be recomputed.
 *   A prompt therefore moves only if it avoids a queue that is longer than the recomputation.
 * - Many short prompts with long responses that share a small part, such as those of one workspace.
 *   They fill the slots of their preferred engine, slow each other down and displace other requests.
 *   Counting the batch size as a cost moves them to other engines.
 * - Engines of lasting uneven speed, or slow for a moment, see `selectCandidates`. The work of the next moments
 *   counts by the momentary factor.
 * @param draw random number, uniform in [0, 1). It breaks ties, so that instances that decide at the
 *   same time choose different engines.
 * @public
 */
export function chooseEngine<P extends EngineView>(
  views: readonly P[],
  prompt: PromptCost,
  draw: number,
  options: EngineOptions = DEFAULT_ENGINE_OPTIONS,
): EngineChoice<P> | undefined {
  const { sharedPart, sharedTokens } = prompt;
  const hasShared = sharedPart !== undefined && sharedTokens > 0;
  const preferred = hasShared
    ? rankByHash(views, sharedPart, options.cacheHitProbabilities.length)
    : [];
  const candidates = selectCandidates(views, preferred, draw);
  const start = Math.floor(draw * candidates.length);
  let best: (EngineChoice<P> & { costMs: number }) | undefined;
  for (let step = 0; step < candidates.length; step += 1) {
    const view = candidates[(start + step) % candidates.length] as P;
    const rank = preferred.indexOf(view);
    const tokens = expectedPrefillTokens(
      prompt,
      rank < 0 ? 0 : (options.cacheHitProbabilities[rank] ?? 0),
    );
    const msPerToken =
      (options.stepMs + options.stepMsPerRequest * view.running) / options.chunkTokens;
    const queuedTokens = view.queuedTokens + tokens;
    const prefillMs = queuedTokens * msPerToken;
    const usualMs = prefillMs * options.prefillFactor;
    const expectedMs = usualMs / toSignificantFactor(view.speed);
    const recomputeMs =
      (tokens - prompt.ownTokens) *
      (options.recomputeWeight - 1) *
      msPerToken *
      options.prefillFactor;
    const batchMs = batchDelayMs(prompt, view, options);
    const costMs =
      usualMs +
      recomputeMs +
      batchMs * options.batchWeight +
      (view.isLocal ? 0 : options.remoteCostMs) +
      momentaryDelayMs(prompt, toSignificantFactor(view.momentary), expectedMs + batchMs, options);
    if (!best || costMs < best.costMs)
      best = { view, tokens, prefillMs, expectedMs, queuedTokens, costMs };
  }
  return best;
}
