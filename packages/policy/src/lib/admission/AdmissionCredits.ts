import type { Random } from '@berylwood/base';

/** Credits that are kept; the ones not used for longest are removed. */
const MAX_CREDITS = 4096;

/** Compensates for rounding, so that ten times a tenth are one. */
const EPSILON = 1e-9;

/**
 * Decides which of the requests of one kind to admit, given a fraction: each adds the fraction to a credit, and
 * is admitted if that reaches one. Among a thousand requests the error is one; random draws would miss by 30.
 * @public
 */
export class AdmissionCredits {
  readonly #random: Random;

  readonly #credits = new Map<string, number>();

  constructor(random: Random) {
    this.#random = random;
  }

  /**
   * Whether to admit a request. Prompts of each power of two have a credit of their own: if long and short ones
   * alternate, one credit would admit only the one kind.
   */
  admit(kind: string, tokens: number, fraction: number): boolean {
    const key = `${Math.floor(Math.log2(Math.max(1, tokens)))} ${kind}`;
    // A random start: many instances with one request each would otherwise all reject it.
    const credit = (this.#credits.get(key) ?? this.#random.next()) + fraction;
    const isAdmitted = fraction > 0 && credit >= 1 - EPSILON;
    this.#credits.delete(key);
    this.#credits.set(key, isAdmitted ? Math.max(0, credit - 1) : credit);
    const [oldest] = this.#credits.keys();
    if (this.#credits.size > MAX_CREDITS && oldest !== undefined) this.#credits.delete(oldest);
    return isAdmitted;
  }

  clear(): void {
    this.#credits.clear();
  }
}
