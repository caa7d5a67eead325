import type { Timer } from '@berylwood/base';

const SECOND_MS = 1000;

/** Limits the log lines of one kind in each second. @public */
export class LineLimit {
  readonly #timer: Timer;

  readonly #maxPerS: number;

  #secondStartedAt = -Infinity;

  #lines = 0;

  constructor(timer: Timer, maxPerS: number) {
    this.#timer = timer;
    this.#maxPerS = maxPerS;
  }

  /** Whether another line may be written now. */
  take(): boolean {
    const now = this.#timer.now();
    if (now - this.#secondStartedAt >= SECOND_MS) {
      this.#secondStartedAt = now;
      this.#lines = 0;
    }
    this.#lines += 1;
    return this.#lines <= this.#maxPerS;
  }
}
