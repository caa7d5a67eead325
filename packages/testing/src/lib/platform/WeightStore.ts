import type { Timer } from '@berylwood/base';

const MS_PER_S = 1000;

/** Rate limit of a weight store: transfers follow one another. @internal */
export class WeightStore {
  readonly #timer: Timer;

  readonly #bytesPerSecond: number;

  #freeAt = 0;

  constructor(timer: Timer, bytesPerSecond: number) {
    this.#timer = timer;
    this.#bytesPerSecond = bytesPerSecond;
  }

  /** Resolves once so many bytes have passed. */
  async transfer(bytes: number): Promise<void> {
    const now = this.#timer.now();
    this.#freeAt = Math.max(now, this.#freeAt) + (bytes / this.#bytesPerSecond) * MS_PER_S;
    await this.#timer.sleep(this.#freeAt - now);
  }
}
