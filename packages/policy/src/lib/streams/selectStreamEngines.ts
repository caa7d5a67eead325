import type { EngineView } from '../placement/chooseEngine';

/** Fraction of the slots up to which a stream engine accepts more tight streams. */
const FULL_FRACTION = 0.75;

/**
 * Fraction of the pause that prompts of other requests may take on a stream engine. The rest is needed by the
 * steps of the event itself, and by a second prompt that another instance places on an older view of the load.
 */
const OTHER_PREFILL_PAUSES = 0.5;

/** How a request was placed on a split pool. @public */
export type StreamPlacementKind = 'tight' | 'other' | 'spilled';

/** State of an engine that matters for the pauses of streams. @public */
export type StreamEngineView = Pick<EngineView, 'queuedTokens' | 'running' | 'slots'>;

/** The request and the split of its pool. @public */
export interface StreamPlacementOptions {
  readonly isTight: boolean;
  /** Prompt tokens of the request, as if no engine had a part of them cached. */
  readonly promptTokens: number;
  /** Longest pause of the tight streams. */
  readonly pauseMs: number;
  readonly prefillMsPerToken: number;
}

/** The engines that a request may use. @public */
export interface StreamPlacement<P> {
  readonly kind: StreamPlacementKind;
  readonly views: readonly P[];
}

/** The engines with the fewest prompt tokens queued, of those that have a free slot, if any. */
function leastQueued<P extends StreamEngineView>(views: readonly P[]): P[] {
  const open = views.filter(({ running, slots }) => running < slots);
  const among = open.length > 0 ? open : views;
  const least = Math.min(...among.map(({ queuedTokens }) => queuedTokens));
  return among.filter(({ queuedTokens }) => queuedTokens <= least);
}

/**
 * Selects the engines that a request may use in a pool that is split into stream engines and others. Load
 * patterns:
 * - Tight streams beside a burst of long prompts. The streams stay on their engines until these fill up or fail,
 *   and then go where the least prefill is queued.
 * - Short prompts while the stream engines are lightly loaded. They harm no stream and use the capacity.
 * - Failure of all other engines. The other prompts use the stream engines.
 * @param isStreamEngine whether a view, which is usable, belongs to a stream engine
 * @public
 */
export function selectStreamEngines<P extends StreamEngineView>(
  views: readonly P[],
  isStreamEngine: (view: P) => boolean,
  { isTight, promptTokens, pauseMs, prefillMsPerToken }: StreamPlacementOptions,
): StreamPlacement<P> {
  if (isTight) {
    const open = views.filter(
      (view) => isStreamEngine(view) && view.running < FULL_FRACTION * view.slots,
    );
    return open.length > 0
      ? { kind: 'tight', views: open }
      : { kind: 'spilled', views: leastQueued(views) };
  }
  const others = views.filter((view) => !isStreamEngine(view));
  if (others.length === 0) return { kind: 'spilled', views };
  const maxTokens = (OTHER_PREFILL_PAUSES * pauseMs) / prefillMsPerToken;
  const harmless = views.filter(
    (view) => isStreamEngine(view) && view.queuedTokens + promptTokens <= maxTokens,
  );
  return { kind: 'other', views: harmless.length > 0 ? [...others, ...harmless] : others };
}
