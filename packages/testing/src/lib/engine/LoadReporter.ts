import type { Timer } from '@berylwood/base';
import type { Batch } from './Batch';

/** Load of an engine on its wire. @public */
export interface EngineLoad {
  readonly slots: number;
  readonly running: number;
  readonly waiting: number;
  readonly prefill_tokens: number;
  readonly generated_tokens: number;
}

/** Interval between samples, in milliseconds. */
const SAMPLE_MS = 50;

/** Reports the load of a batch as it was some time ago. @internal */
export class LoadReporter implements Disposable {
  /** Age of the reported figures, in milliseconds. */
  lagMs: number;

  readonly #timer: Timer;

  readonly #batch: Batch;

  readonly #sampling: Disposable;

  #samples: { readonly at: number; readonly load: EngineLoad }[] = [];

  constructor(timer: Timer, batch: Batch, lagMs: number) {
    this.#timer = timer;
    this.#batch = batch;
    this.lagMs = lagMs;
    this.#sampling = timer.every(SAMPLE_MS, () => this.#sample());
  }

  /** The newest figures that are at least as old as the lag. */
  get load(): EngineLoad {
    if (this.lagMs <= 0) return this.present;
    const limit = this.#timer.now() - this.lagMs;
    const old = this.#samples.findLast(({ at }) => at <= limit) ?? this.#samples[0];
    return old?.load ?? this.present;
  }

  /** The figures of this moment. */
  get present(): EngineLoad {
    const { slots, runningCount, waitingCount, prefillTokens, generatedTokens } = this.#batch;
    return {
      slots,
      running: runningCount,
      waiting: waitingCount,
      prefill_tokens: prefillTokens,
      generated_tokens: generatedTokens,
    };
  }

  [Symbol.dispose](): void {
    this.#sampling[Symbol.dispose]();
  }

  #sample(): void {
    const at = this.#timer.now();
    this.#samples.push({ at, load: this.present });
    const limit = at - this.lagMs;
    const newest = this.#samples.findLastIndex((sample) => sample.at <= limit);
    if (newest > 0) this.#samples = this.#samples.slice(newest);
  }
}
