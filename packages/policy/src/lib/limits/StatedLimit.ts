/** A limit that an endpoint states in a response. Times are in milliseconds. @public */
export interface LimitStatement {
  /** The limit; Infinity if the response states none. */
  readonly value: number;
  /** Time at which the request was sent; the statement is not older. */
  readonly sentAt: number;
  /** Time at which the response arrived; the statement is not newer. */
  readonly receivedAt: number;
}

/**
 * The limit that an endpoint states in its responses, merged over all responses and instances. Load
 * pattern: many requests are in flight, so statements arrive late and out of order. A statement replaces
 * another one if it is certainly newer. If their order is unknown, the lower limit holds.
 * @public
 */
export class StatedLimit {
  #current: LimitStatement = { value: Infinity, sentAt: -Infinity, receivedAt: -Infinity };

  get value(): number {
    return this.#current.value;
  }

  get isLimited(): boolean {
    return this.#current.value < Infinity;
  }

  get statement(): LimitStatement {
    return this.#current;
  }

  /** Merges a statement; returns whether the limit has changed. */
  merge(next: LimitStatement): boolean {
    const known = this.#current;
    if (next.receivedAt < known.sentAt) return false;
    const isNewer = next.sentAt >= known.receivedAt;
    if (next.value > known.value && !isNewer) return false;
    this.#current = isNewer
      ? next
      : {
          value: next.value,
          sentAt: Math.max(next.sentAt, known.sentAt),
          receivedAt: Math.max(next.receivedAt, known.receivedAt),
        };
    return next.value !== known.value;
  }
}
