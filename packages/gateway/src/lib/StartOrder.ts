/** Requests sent within this time of each other may start in any order, in milliseconds. */
const OVERTAKE_MARGIN_MS = 250;

/** Order in which the requests of this instance have started to run at an endpoint. @internal */
export class StartOrder {
  /** By rank, the latest send time of the requests that have started to run. */
  readonly #latestSentAt = new Map<number, number>();

  /** Records that a request has started to run which was sent at `sentAt`. */
  started(rank: number, sentAt: number): void {
    this.#latestSentAt.set(rank, Math.max(sentAt, this.#latestSentAt.get(rank) ?? -Infinity));
  }

  /**
   * Whether a request that is not more urgent and was sent clearly later has started to run. If so, the
   * response to an earlier request without a response is probably lost.
   */
  hasOvertaken(rank: number, sentAt: number): boolean {
    return [...this.#latestSentAt].some(
      ([other, at]) => other >= rank && at > sentAt + OVERTAKE_MARGIN_MS,
    );
  }
}
