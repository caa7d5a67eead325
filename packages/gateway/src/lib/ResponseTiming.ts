/** Records when the parts of a response arrive. @internal */
export class ResponseTiming {
  /** Monotonic time at which the first part arrived. */
  firstAt: number | undefined;

  /** Longest time between two parts, in milliseconds. */
  longestPauseMs = 0;

  #lastAt: number | undefined;

  mark(now: number): void {
    this.firstAt ??= now;
    this.longestPauseMs = Math.max(this.longestPauseMs, now - (this.#lastAt ?? now));
    this.#lastAt = now;
  }
}
