/** Sums of estimated tokens may leave a remainder below this. */
const MIN_TOKENS = 0.5;

/** The present period during which prompt tokens are queued at an endpoint without a break. @internal */
export class PrefillPeriod {
  #since = Infinity;

  #queuedTokens = 0;

  /** Prompt tokens that are queued from all instances, as far as is known. */
  get queuedTokens(): number {
    return this.#queuedTokens;
  }

  /** Records the number of tokens queued from all instances. */
  observe(queuedTokens: number, now: number): void {
    this.#queuedTokens = queuedTokens < MIN_TOKENS ? 0 : queuedTokens;
    if (queuedTokens < MIN_TOKENS) this.#since = Infinity;
    else if (this.#since === Infinity) this.#since = now;
  }

  /** Whether tokens have been queued without a break since a time. */
  coversSince(time: number): boolean {
    return this.#since <= time;
  }
}
