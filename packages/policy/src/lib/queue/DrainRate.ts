/** Time over which the rate is averaged, in milliseconds. */
const WINDOW_MS = 5_000;

/** Shortest measurement that is trusted, in milliseconds. */
const MIN_MEASURED_MS = 2_000;

/** Fewest requests in a measurement that is trusted. */
const MIN_REQUESTS = 5;

/**
 * Rate at which a queue empties while the pool is saturated, in tokens a second. What is served
 * while there is spare capacity shows the demand and not the capacity, so it is left out.
 * @internal
 */
export class DrainRate {
  #saturatedSince: number | undefined;

  #requests = 0;

  #work = 0;

  #measuredAt = 0;

  #elapsedMs = 0;

  /** Whether requests had to wait for capacity at this time. */
  setSaturated(isSaturated: boolean, now: number): void {
    if (!isSaturated) {
      this.#saturatedSince = undefined;
      return;
    }
    if (this.#saturatedSince !== undefined) return;
    this.#saturatedSince = now;
    this.#measuredAt = now;
    this.#requests = 0;
    this.#work = 0;
    this.#elapsedMs = 0;
  }

  /** A request with this expected work, in tokens, has left the queue for an endpoint. */
  served(work: number, now: number): void {
    if (this.#saturatedSince === undefined) return;
    this.#decay(now);
    this.#requests += 1;
    this.#work += work;
  }

  /** Tokens a second, or undefined while too little has been measured. */
  get(now: number): number | undefined {
    if (this.#saturatedSince === undefined) return undefined;
    if (now - this.#saturatedSince < MIN_MEASURED_MS) return undefined;
    if (this.#requests < MIN_REQUESTS) return undefined;
    this.#decay(now);
    return (this.#work / this.#elapsedMs) * 1000;
  }

  /** Exponential forgetting of both the work and the time in which it was done. */
  #decay(now: number): void {
    const passedMs = now - this.#measuredAt;
    if (passedMs <= 0) return;
    const kept = Math.exp(-passedMs / WINDOW_MS);
    this.#work *= kept;
    this.#elapsedMs = this.#elapsedMs * kept + (1 - kept) * WINDOW_MS;
    this.#measuredAt = now;
  }
}
