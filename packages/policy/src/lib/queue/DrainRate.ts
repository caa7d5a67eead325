/** Time constant of the exponential average, in milliseconds. */
const WINDOW_MS = 5_000;

/** Shortest measurement that yields a rate, in milliseconds. */
const MIN_MEASURED_MS = 2_000;

/** Minimum number of requests in a measurement that yields a rate. */
const MIN_REQUESTS = 5;

/**
 * Rate at which a queue drains while its pool is saturated, in tokens per second. Work served while
 * capacity is free is not counted, because it shows the demand instead of the capacity.
 * @internal
 */
export class DrainRate {
  #saturatedSince: number | undefined;

  #requests = 0;

  #work = 0;

  #measuredAt = 0;

  #elapsedMs = 0;

  /** Sets whether requests have to wait for capacity from now on. */
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

  /** Records that a request with this expected work, in tokens, left the queue for an endpoint. */
  served(work: number, now: number): void {
    if (this.#saturatedSince === undefined) return;
    this.#decay(now);
    this.#requests += 1;
    this.#work += work;
  }

  /** Tokens per second, or undefined while too little has been measured. */
  get(now: number): number | undefined {
    if (this.#saturatedSince === undefined) return undefined;
    if (now - this.#saturatedSince < MIN_MEASURED_MS) return undefined;
    if (this.#requests < MIN_REQUESTS) return undefined;
    this.#decay(now);
    return (this.#work / this.#elapsedMs) * 1000;
  }

  /** Decays the work and the time in which it was served exponentially. */
  #decay(now: number): void {
    const passedMs = now - this.#measuredAt;
    if (passedMs <= 0) return;
    const kept = Math.exp(-passedMs / WINDOW_MS);
    this.#work *= kept;
    this.#elapsedMs = this.#elapsedMs * kept + (1 - kept) * WINDOW_MS;
    this.#measuredAt = now;
  }
}
