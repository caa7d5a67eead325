import type { Timer } from '@berylwood/base';
import type { Attempt } from './Attempt';
import type { EngineModel } from './EngineModel';
import type { Placement } from './placeRequest';

/** Tokens that wait on an engine which prefills in each of its steps. */
const MIN_PREFILLING_TOKENS = 2048;

/** @internal */
export interface EngineObserverParts {
  readonly engines: Pick<EngineModel, 'observePrefill' | 'observeGap'>;
  readonly timer: Timer;
}

/** Observes the times of the events of one stream, from which the behaviour of its engine is learnt. @internal */
export class EngineObserver {
  readonly #parts: EngineObserverParts;

  readonly #attempt: Pick<Attempt, 'endpoint' | 'startedAt'>;

  readonly #placement: Placement;

  readonly #momentaryAtStart: number;

  #hasEvents = false;

  /** Time of the event before, if nothing but the engine decides when the next one arrives. */
  #lastAt: number | undefined;

  #waitingTokens = 0;

  constructor(
    parts: EngineObserverParts,
    attempt: Pick<Attempt, 'endpoint' | 'startedAt'>,
    placement: Placement,
  ) {
    this.#parts = parts;
    this.#attempt = attempt;
    this.#placement = placement;
    this.#momentaryAtStart = attempt.endpoint.momentary.factorAt(attempt.startedAt);
  }

  eventReceived(): void {
    const now = this.#parts.timer.now();
    const { waitingTokens } = this.#attempt.endpoint;
    if (!this.#hasEvents) this.#observePrefill(now);
    else if (this.#lastAt !== undefined) this.#observeGap(now - this.#lastAt, waitingTokens);
    this.#hasEvents = true;
    this.#lastAt = now;
    this.#waitingTokens = waitingTokens;
  }

  /** Records that the response is not read for a time, as its caller reads slowly or its first event is held. */
  paused(): void {
    this.#lastAt = undefined;
  }

  #observePrefill(now: number): void {
    const { endpoint, startedAt } = this.#attempt;
    const momentary = Math.max(this.#momentaryAtStart, endpoint.momentary.factorAt(now));
    this.#parts.engines.observePrefill(endpoint, {
      tokens: this.#placement.queuedTokens,
      ownTokens: this.#placement.tokens,
      dataSheetMs: this.#placement.prefillMs,
      observedMs: now - startedAt,
      momentary,
    });
  }

  /** Leaves out gaps in which a prefill begins or ends. */
  #observeGap(gapMs: number, waitingTokens: number): void {
    const fewest = Math.min(waitingTokens, this.#waitingTokens);
    const isPrefilling = fewest >= MIN_PREFILLING_TOKENS;
    const isIdle = waitingTokens === 0 && this.#waitingTokens === 0;
    if (!isPrefilling && !isIdle) return;
    this.#parts.engines.observeGap(this.#attempt.endpoint, gapMs, isPrefilling);
  }
}
