/** Queued tokens per engine from which on the engines of a pool are taken to be busy: one chunk. */
const BUSY_TOKENS_PER_ENGINE = 2048;

/** Time for which a pool has to be busy before its rate counts, in milliseconds; the rate is an average. */
const BUSY_MS = 1000;

/** Interval between two samples, in milliseconds. */
const SAMPLE_INTERVAL_MS = 250;

/** Samples that are kept, some seconds of load. */
const MAX_SAMPLES = 15;

/** Samples before which the prior is used. */
const MIN_SAMPLES = 3;

/** Largest factor between the estimate and the prior, so that a faulty count cannot stop a pool. */
const MAX_FACTOR = 4;

/** State of a pool at one time. @public */
export interface PoolLoad {
  /** Engines in service. */
  readonly engines: number;
  /** Prompt tokens that wait for prefill. */
  readonly queuedTokens: number;
  /** Prompt tokens per second whose first event came. */
  readonly servedPerS: number;
  /** Capacity by the learnt speed of the engines, in tokens per second. */
  readonly priorPerS: number;
}

const medianOf = (values: readonly number[]): number =>
  [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)] ?? 0;

/**
 * Estimates the prompt tokens per second that a pool prefills. Only times at which its queues were not empty
 * count, as the rate is the demand otherwise. The median ignores single stalls and bursts.
 * @public
 */
export class PrefillCapacity {
  readonly #samples: number[] = [];

  #busySince: number | undefined;

  #sampledAt = -Infinity;

  #priorPerS = 0;

  update({ engines, queuedTokens, servedPerS, priorPerS }: PoolLoad, now: number): void {
    this.#priorPerS = priorPerS;
    if (queuedTokens < Math.max(1, engines) * BUSY_TOKENS_PER_ENGINE) {
      this.#busySince = undefined;
      return;
    }
    this.#busySince ??= now;
    if (now - this.#busySince < BUSY_MS || now - this.#sampledAt < SAMPLE_INTERVAL_MS) return;
    this.#sampledAt = now;
    this.#samples.push(servedPerS);
    if (this.#samples.length > MAX_SAMPLES) this.#samples.shift();
  }

  get tokensPerS(): number {
    const prior = this.#priorPerS;
    if (this.#samples.length < MIN_SAMPLES) return prior;
    return Math.min(prior * MAX_FACTOR, Math.max(prior / MAX_FACTOR, medianOf(this.#samples)));
  }
}
