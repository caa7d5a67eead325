import type { Random } from '@berylwood/base';
import { PacedShare } from './PacedShare';
import { effectiveRate } from './PermitAllocator';

/** Time for which an unused permit is valid, in milliseconds. */
const VALID_MS = 1000;

/**
 * The same for a limit that holds in every second, in milliseconds: with a second's permits held back, two
 * seconds' permits could be used within one.
 */
const STRICT_VALID_MS = 300;

/**
 * Fraction of the limit that instances use together while no leader allocates permits. The rest covers an
 * instance that has lost the leader while others have not.
 */
const UNLEASED_FRACTION = 0.5;

/** What an instance knows about the division of a limit. @public */
export interface PermitConditions {
  /** Requests per second that the endpoint accepts from all instances together. */
  readonly requestsPerS: number;
  /** Number of instances. */
  readonly instances: number;
  /** Whether a leader allocates permits to this instance. */
  readonly hasLeader: boolean;
}

/**
 * Permits of one instance for requests to an endpoint with a limit. A leader allocates them. Without a
 * leader, the instance uses its share as one of all instances.
 * @public
 */
export class EndpointPermits {
  readonly #share: PacedShare;

  /** Times at which unused permits expire, in milliseconds, in order. */
  #expiries: number[] = [];

  #returned = 0;

  constructor(random: Random) {
    this.#share = new PacedShare(random);
  }

  /** Number of permits that are held unused. */
  held(now: number): number {
    this.#expire(now);
    return this.#expiries.length;
  }

  /** Adds permits. @param isStrict whether the limit holds in every second, not only over several */
  grant(count: number, now: number, isStrict = false): void {
    const expiresAt = now + (isStrict ? STRICT_VALID_MS : VALID_MS);
    for (let added = 0; added < count; added += 1) this.#expiries.push(expiresAt);
  }

  /** Drops all unused permits, as they were granted for another limit. */
  drop(): void {
    this.#expiries = [];
  }

  /** Whether a request may be sent now. */
  isAvailable(conditions: PermitConditions, now: number): boolean {
    const { requestsPerS, instances, hasLeader } = conditions;
    if (this.held(now) > 0) return true;
    if (hasLeader) {
      this.#share.reset();
      return false;
    }
    const perS = (effectiveRate(requestsPerS) * UNLEASED_FRACTION) / Math.max(1, instances);
    return this.#share.isAvailable(1000 / perS, now);
  }

  /** Uses a permit; call only if one is available. */
  take(): void {
    if (this.#expiries.length > 0) this.#expiries.shift();
    else this.#share.take();
  }

  /** Number of permits that have expired unused since the last call. */
  takeReturned(now: number): number {
    this.#expire(now);
    const returned = this.#returned;
    this.#returned = 0;
    return returned;
  }

  #expire(now: number): void {
    const valid = this.#expiries.filter((at) => at > now);
    this.#returned += this.#expiries.length - valid.length;
    this.#expiries = valid;
  }
}
