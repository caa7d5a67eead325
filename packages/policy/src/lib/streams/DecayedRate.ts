/** Rate of recent amounts, as an average with exponential weights. @public */
export class DecayedRate {
  readonly #timeConstantMs: number;

  #sum = 0;

  #at = 0;

  constructor(timeConstantMs: number) {
    this.#timeConstantMs = timeConstantMs;
  }

  add(amount: number, now: number): void {
    this.#decay(now);
    this.#sum += amount;
  }

  /** Amount per second. */
  perS(now: number): number {
    this.#decay(now);
    return (this.#sum / this.#timeConstantMs) * 1000;
  }

  #decay(now: number): void {
    this.#sum *= Math.exp((this.#at - now) / this.#timeConstantMs);
    this.#at = now;
  }
}
