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

/** The chosen engine, with the expected work of the prompt there. @public */
export interface EngineChoice<P extends EngineView> {
  readonly view: P;
  /** Prompt tokens that the engine is expected to prefill. */
  readonly tokens: number;
  /** Expected time until the engine has prefilled the prompt, in milliseconds. */
  readonly prefillMs: number;
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
  const start = Math.floor(draw * views.length);
  let best: (EngineChoice<P> & { costMs: number }) | undefined;
  for (let step = 0; step < views.length; step += 1) {
    const view = views[(start + step) % views.length] as P;
    const rank = preferred.indexOf(view);
    const tokens = expectedPrefillTokens(
      prompt,
      rank < 0 ? 0 : (options.cacheHitProbabilities[rank] ?? 0),
    );
    const msPerToken =
      (options.stepMs + options.stepMsPerRequest * view.running) / options.chunkTokens;
    const prefillMs = (view.queuedTokens + tokens) * msPerToken;
    const recomputeMs = (tokens - prompt.ownTokens) * (options.recomputeWeight - 1) * msPerToken;
    const batchCostMs = batchDelayMs(prompt, view, options) * options.batchWeight;
    const costMs =
      prefillMs + recomputeMs + batchCostMs + (view.isLocal ? 0 : options.remoteCostMs);
    if (!best || costMs < best.costMs) best = { view, tokens, prefillMs, costMs };
  }
  return best;
}
