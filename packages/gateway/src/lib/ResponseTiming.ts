/** When the parts of an answer came. @internal */
export class ResponseTiming {
  /** Monotonic time of the first part. */
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
