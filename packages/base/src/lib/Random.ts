import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** Seeded random number generator: the same seed gives the same sequence. @public */
export class Random {
  readonly #generator;

  constructor(seed: number) {
    // eslint-disable-next-line no-bitwise -- the generator takes a 32-bit integer
    this.#generator = xoroshiro128plus(seed | 0);
  }

  /** Uniform in [0, 1). */
  next(): number {
    // eslint-disable-next-line no-bitwise -- to an unsigned 32-bit integer
    return (this.#generator.next() >>> 0) / 2 ** 32;
  }

  /** Uniform integer in [0, bound). */
  below(bound: number): number {
    return Math.floor(this.next() * bound);
  }

  /** Uniform in [low, high). */
  between(low: number, high: number): number {
    return low + this.next() * (high - low);
  }

  /** Exponential with the given mean. */
  exponential(mean: number): number {
    return -mean * Math.log(1 - this.next());
  }

  /** Standard normal, by the Box-Muller transform. */
  normal(): number {
    return Math.sqrt(-2 * Math.log(1 - this.next())) * Math.cos(2 * Math.PI * this.next());
  }

  /** Uniformly chosen item of a non-empty list. */
  pick<T>(items: readonly T[]): T {
    return items[this.below(items.length)] as T;
  }
}
