/** Exponential moving average. @internal */
export class MovingAverage {
  readonly #smoothing: number;

  #value: number;

  #samples = 0;

  constructor(initial: number, smoothing = 0.1) {
    this.#value = initial;
    this.#smoothing = smoothing;
  }

  get value(): number {
    return this.#value;
  }

  get samples(): number {
    return this.#samples;
  }

  observe(sample: number): void {
    this.#samples += 1;
    // The first samples are weighted as in a plain mean, so that a wrong initial value fades soon.
    this.#value += Math.max(this.#smoothing, 1 / this.#samples) * (sample - this.#value);
  }
}
