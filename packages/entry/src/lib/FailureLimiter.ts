import type { Timer } from '@berylwood/base';

/** Refused keys that one address may send at once. */
const FAILURE_BURST = 20;

/** Further refused keys a second. */
const FAILURES_PER_S = 1;

/** Addresses remembered; the oldest is forgotten first. */
const MAX_ADDRESSES = 10_000;

const MS_PER_S = 1000;

interface Bucket {
  tokens: number;
  at: number;
}

/**
 * Limits how fast one address may try keys. Only refused keys count and only they are limited, as
 * many callers may share one address.
 * @internal
 */
export class FailureLimiter {
  readonly #timer: Timer;

  readonly #buckets = new Map<string, Bucket>();

  constructor(timer: Timer) {
    this.#timer = timer;
  }

  /** Counts a refused key; false when the address is over its limit. */
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
