import type { Timer } from '@berylwood/base';
import type { Endpoint } from './Endpoint';
import type { PoolStreams } from './PoolStreams';

/**
 * Time that the prefill of the queue has to take at the start of a gap, in milliseconds, for the gap to tell how
 * long events take during prefill. What is known of the queue is up to half a second old.
 */
const MIN_QUEUE_MS = 600;

/** Fraction of a prompt up to which tokens may wait before it, as their number is known late. */
const MAX_BEFORE_FRACTION = 0.25;

/** @internal */
export interface StreamRunOptions {
  readonly timer: Timer;
  readonly pool: PoolStreams;
  readonly endpoint: Pick<Endpoint, 'prefill'>;
  /** Longest pause that the route allows; 0 if it states none. */
  readonly pauseMs: number;
  /** Prompt tokens that the endpoint is expected to prefill for the request. */
  readonly tokens: number;
  /** Prompt tokens that were queued there before; undefined if the request may wait for a slot. */
  readonly tokensBefore: number | undefined;
}

/** Observes one attempt on an engine for as long as it runs. A resumed stream is another run. @internal */
export class StreamRun implements Disposable {
  readonly #options: StreamRunOptions;

  readonly #startedAt: number;

  /** Time of the latest event, if the next one is expected without delay. */
  #lastEventAt: number | undefined;

  /** Whether the engine was expected to prefill for the whole gap that began with the latest event. */
  #isPrefilling = false;

  /** Prompt tokens that were queued at the latest event. */
  #queuedTokens = 0;

  #hasStarted = false;

  #isEnded = false;

  constructor(options: StreamRunOptions) {
    this.#options = options;
    const { timer, pool, pauseMs, tokens } = options;
    this.#startedAt = timer.now();
    pool.started(pauseMs, tokens, this.#startedAt);
  }

  /** Records an event, or several that arrived together. */
  eventReceived(): void {
    // A response that is no stream is not observed to its end.
    if (this.#isEnded) return;
    const { timer, pool, endpoint, tokens, tokensBefore } = this.#options;
    const now = timer.now();
    const lastAt = this.#lastEventAt;
    this.#lastEventAt = now;
    const wasPrefilling = this.#isPrefilling;
    const tokensAtLast = this.#queuedTokens;
    const { queuedTokens } = endpoint.prefill;
    this.#queuedTokens = queuedTokens;
    this.#isPrefilling = queuedTokens * pool.split.prefillMsPerToken >= MIN_QUEUE_MS;
    if (!this.#hasStarted) {
      this.#hasStarted = true;
      if (tokensBefore === undefined || tokensBefore > MAX_BEFORE_FRACTION * tokens) return;
      pool.observePrefill(now - this.#startedAt, tokensBefore + tokens, now);
    } else if (lastAt !== undefined && wasPrefilling && endpoint.prefill.coversSince(lastAt)) {
      pool.observeGap(now - lastAt, now);
    } else if (lastAt !== undefined && tokensAtLast === 0 && queuedTokens === 0) {
      pool.observePlainGap(now - lastAt, now);
    }
  }

  /** Records that no more is read until the caller has read what it got; the next gap tells nothing. */
  paused(): void {
    this.#lastEventAt = undefined;
  }

  [Symbol.dispose](): void {
    if (this.#isEnded) return;
    this.#isEnded = true;
    this.#options.pool.ended(this.#options.pauseMs);
  }
}
