import { rankByHash } from './chooseEndpoint';

/** A model engine as a candidate for a request. @public */
export interface EngineView {
  /** Key for the ranking by hash; the same on all instances. */
  readonly key: string;
  /** Prompt tokens that all instances have sent there and that are not read yet, as estimated. */
  readonly queuedTokens: number;
  /** Requests that run or wait there, from all instances. */
  readonly running: number;
  /** Requests that it runs at a time. */
  readonly slots: number;
  /** Whether it lies in the data centre of the instance that asks. */
  readonly isLocal: boolean;
}

/** A prompt as the placement sees it. @public */
export interface PromptCost {
  /** The longest part that other requests share; undefined without one. */
  readonly sharedPart: string | undefined;
  /** Tokens of that part, which an engine reads unless it keeps them. */
  readonly sharedTokens: number;
  /** Tokens that any engine has to read. */
  readonly ownTokens: number;
  /** Tokens that the answer is expected to have. */
  readonly answerTokens: number;
}

/** Options of the placement. @public */
export interface EngineOptions {
  /** Prompt tokens read in one step of a batch. */
  readonly chunkTokens: number;
  /** Time of a step with one chunk, in milliseconds. */
  readonly stepMs: number;
  /** Growth of a step by each request that runs, in milliseconds. */
  readonly stepMsPerRequest: number;
  /** Endpoints, in the order of their rank, that may have read a shared part, and how probably. */
  readonly cacheHitProbabilities: readonly number[];
  /**
   * Weight of tokens that are read once more because a prompt leaves its home: they delay all that
   * is queued behind them, too.
   */
  readonly recomputeWeight: number;
  /** Weight of the time by which the batch slows the answer down; 0 leaves batches out. */
  readonly batchWeight: number;
  /** Time until one of the requests of a full batch ends, in milliseconds. */
  readonly slotReleaseMs: number;
  /** Lead that a far engine must have, in milliseconds: traffic between data centres costs. */
  readonly remoteCostMs: number;
}

/** Defaults; the times of a step are those of the engines' data sheet. @public */
export const DEFAULT_ENGINE_OPTIONS: EngineOptions = {
  chunkTokens: 1024,
  stepMs: 15.5,
  stepMsPerRequest: 0.11,
  cacheHitProbabilities: [1, 0.5, 0.25],
  recomputeWeight: 150,
  batchWeight: 1,
  // Requests stay for 1.5 s on average, in 64 slots.
  slotReleaseMs: 25,
  remoteCostMs: 0,
};

/** Tokens that an engine will read for a prompt, given the chance that it keeps the shared part. */
function expectedPrefillTokens(
  { ownTokens, sharedTokens }: PromptCost,
  cacheHitProbability: number,
): number {
  return ownTokens + sharedTokens * (1 - cacheHitProbability);
}

/**
 * Time that an answer loses to the batch it joins, in milliseconds: each request of the batch
 * lengthens each of its steps, and beyond the slots it waits for one to end, or takes its place.
 */
function batchDelayMs(
  { answerTokens }: PromptCost,
  view: EngineView,
  options: EngineOptions,
): number {
  const slowerMs = answerTokens * options.stepMsPerRequest * Math.min(view.running, view.slots);
  const waitMs = Math.max(0, view.running + 1 - view.slots) * options.slotReleaseMs;
  return slowerMs + waitMs;
}

/** The choice of an engine, and the tokens it is expected to read. @public */
export interface EngineChoice<P extends EngineView> {
  readonly view: P;
  readonly tokens: number;
  /** Expected time until the prompt is read there, in milliseconds. */
  readonly prefillMs: number;
}

/**
 * Chooses the engine that will have answered first. Load patterns:
 * - Bursts of long prompts of which large parts are shared and few are warm yet. An engine's queue is
 *   counted in tokens to read over all instances, since prompts differ by a factor of a hundred;
 *   leaving the home of a shared part costs its reading, so that a prompt moves only when the queue
 *   it escapes is longer.
 * - Many short prompts with long answers that share a small part, as of one workspace. They fill the
 *   slots of its home, slow each other down and push others out; the size of the batch sends them on.
 * @param draw uniform in [0, 1): spreads ties over the instances that decide at the same time
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
