import { DEFAULT_ENGINE_OPTIONS, DecayedHistogram, DecayedRate } from '@berylwood/policy';

/** Half-life of an observation, in milliseconds: several bursts of prompts, which bring most of them. */
const HALF_LIFE_MS = 30_000;

/** Time constant of the rates of prompt tokens, in milliseconds. */
const RATE_TIME_CONSTANT_MS = 2000;

/** Events later than this are lost or belong to a stalled stream, in milliseconds. */
const MAX_GAP_MS = 1500;

/** Shorter prompts say little about the time per token, as steps without prefill are part of their response. */
const MIN_PROMPT_TOKENS = 2000;

/** Fraction of the durations of events without prefill that the estimate is not exceeded by. */
const PLAIN_QUANTILE = 0.25;

/** Prefill takes up to this multiple of the time in the data sheet; longer times contain a wait for a slot. */
const MAX_SLOWDOWN = 8;

const DATA_SHEET_MS_PER_TOKEN = DEFAULT_ENGINE_OPTIONS.stepMs / DEFAULT_ENGINE_OPTIONS.chunkTokens;

/** How the engines of a pool are divided, as decided by the leader. @internal */
export interface StreamSplit {
  /** Number of stream engines; 0 if the pool is not split. */
  readonly engines: number;
  /** Routes with a pause up to this are tight; 0 if none is. */
  readonly pauseMs: number;
  /** Duration of an event while its engine prefills continuously; undefined until learnt. */
  readonly eventMs: number | undefined;
  readonly prefillMsPerToken: number;
}

/** What this instance observes of the streams of one pool, and the split that applies to them. @internal */
export class PoolStreams {
  split: StreamSplit = {
    engines: 0,
    pauseMs: 0,
    eventMs: undefined,
    prefillMsPerToken: DATA_SHEET_MS_PER_TOKEN,
  };

  /** Durations of events during which the engine was prefilling, in milliseconds. */
  readonly eventMs = new DecayedHistogram(HALF_LIFE_MS);

  /** Durations of events during which nothing was queued at the engine, in milliseconds. */
  readonly #plainEventMs = new DecayedHistogram(HALF_LIFE_MS);

  /** Times of prefill for one token, in microseconds. */
  readonly prefillUs = new DecayedHistogram(HALF_LIFE_MS);

  /** By the pause of the route, the streams that run or wait. */
  readonly #running = new Map<number, number>();

  /** By the pause of the route, the prompt tokens to prefill. */
  readonly #rates = new Map<number, DecayedRate>();

  isTight(pauseMs: number): boolean {
    return pauseMs > 0 && pauseMs <= this.split.pauseMs;
  }

  started(pauseMs: number, tokens: number, now: number): void {
    this.#running.set(pauseMs, (this.#running.get(pauseMs) ?? 0) + 1);
    const rate = this.#rates.get(pauseMs) ?? new DecayedRate(RATE_TIME_CONSTANT_MS);
    this.#rates.set(pauseMs, rate);
    rate.add(tokens, now);
  }

  ended(pauseMs: number): void {
    const left = (this.#running.get(pauseMs) ?? 0) - 1;
    // Pauses that no configuration states any longer leave nothing behind.
    if (left > 0) this.#running.set(pauseMs, left);
    else this.#running.delete(pauseMs);
  }

  /** Records the time between two events during which the engine was prefilling. */
  observeGap(gapMs: number, now: number): void {
    if (gapMs > 0 && gapMs <= MAX_GAP_MS) this.eventMs.add(gapMs, now);
  }

  /** Records the time between two events during which nothing was queued, as far as is known. */
  observePlainGap(gapMs: number, now: number): void {
    if (gapMs > 0 && gapMs <= MAX_GAP_MS) this.#plainEventMs.add(gapMs, now);
  }

  /** Records the time in which the tokens queued before a request, and its own, were prefilled and an event generated. */
  observePrefill(durationMs: number, tokens: number, now: number): void {
    if (tokens < MIN_PROMPT_TOKENS) return;
    // Prompts of other instances are known late, so that some plain gaps contain prefill.
    const eventMs = this.#plainEventMs.quantile(PLAIN_QUANTILE, now) ?? 0;
    const msPerToken = (durationMs - eventMs) / tokens;
    if (msPerToken <= 0 || msPerToken > MAX_SLOWDOWN * DATA_SHEET_MS_PER_TOKEN) return;
    this.prefillUs.add(msPerToken * 1000, now);
  }

  /** Tight streams that run or wait. */
  get runningTight(): number {
    return [...this.#running].reduce(
      (sum, [pauseMs, count]) => sum + (this.isTight(pauseMs) ? count : 0),
      0,
    );
  }

  /** Prompt tokens per second of tight streams and of all others. */
  tokensPerS(now: number): { readonly tight: number; readonly other: number } {
    const sum = { tight: 0, other: 0 };
    for (const [pauseMs, rate] of this.#rates) {
      const perS = rate.perS(now);
      // Rates of pauses that no configuration states any longer are removed.
      if (perS < 1e-6 && !this.#running.has(pauseMs)) this.#rates.delete(pauseMs);
      else sum[this.isTight(pauseMs) ? 'tight' : 'other'] += perS;
    }
    return sum;
  }
}
