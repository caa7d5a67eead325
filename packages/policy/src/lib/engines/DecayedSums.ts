/** Weight, sum and sum of squares of logarithms. @public */
export type LogSums = readonly [weight: number, sum: number, squares: number];

/** No observations. @public */
export const NO_SUMS: LogSums = [0, 0, 0];

export function addSums(a: LogSums, b: LogSums): LogSums {
  return [a[0] + b[0], a[1] + b[1], a[2] + b[2]];
}

/** Sums whose parts lose half of their weight in each half-life. @internal */
export class DecayedSums {
  readonly #halfLifeMs: number;

  #sums = NO_SUMS;

  #at = 0;

  constructor(halfLifeMs: number) {
    this.#halfLifeMs = halfLifeMs;
  }

  at(now: number): LogSums {
    if (this.#sums[0] === 0 || now <= this.#at) return this.#sums;
    const factor = 0.5 ** ((now - this.#at) / this.#halfLifeMs);
    const [weight, sum, squares] = this.#sums;
    return [weight * factor, sum * factor, squares * factor];
  }

  add(sums: LogSums, now: number): void {
    this.set(addSums(this.at(now), sums), now);
  }

  set(sums: LogSums, now: number): void {
    this.#sums = sums;
    this.#at = Math.max(this.#at, now);
  }
}
