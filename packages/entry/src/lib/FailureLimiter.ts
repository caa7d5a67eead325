import type { Timer } from '@berylwood/base';

/** Maximum burst of rejected keys from one address. */
const FAILURE_BURST = 20;

/** Rate at which the burst of an address refills, in rejected keys per second. */
const FAILURES_PER_S = 1;

/** Maximum number of tracked addresses; the least recently used is evicted first. */
const MAX_ADDRESSES = 10_000;

const MS_PER_S = 1000;

interface Bucket {
  tokens: number;
  at: number;
}

/**
 * Limits the rate at which one address may try keys. Only rejected keys are counted and limited,
 * because many callers may share one address.
 * @internal
 */
export class FailureLimiter {
  readonly #timer: Timer;

  readonly #buckets = new Map<string, Bucket>();

  constructor(timer: Timer) {
    this.#timer = timer;
  }

  /** Counts a rejected key; returns false if the address exceeds its limit. */
  recordFailure(address: string): boolean {
    const now = this.#timer.now();
    const bucket = this.#buckets.get(address) ?? { tokens: FAILURE_BURST, at: now };
    const refill = ((now - bucket.at) / MS_PER_S) * FAILURES_PER_S;
    bucket.tokens = Math.min(FAILURE_BURST, bucket.tokens + refill);
    bucket.at = now;
    this.#buckets.delete(address);
    this.#buckets.set(address, bucket);
    const [oldest] = this.#buckets.keys();
    if (this.#buckets.size > MAX_ADDRESSES && oldest) this.#buckets.delete(oldest);
    if (bucket.tokens < 1) return false;
    bucket.tokens -= 1;
    return true;
  }
}
