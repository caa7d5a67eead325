import type { Random } from '@berylwood/base';
import { TokenBucket } from './TokenBucket';

/** Permits that one instance wants for requests to an endpoint. @public */
export interface PermitDemand<Source> {
  readonly source: Source;
  /** By rank, the number of permits wanted, which may be a fraction; rank 0 is the most urgent. */
  readonly wanted: readonly number[];
}

/**
 * Lowest rate of an endpoint, in requests per second, even if it states less. Without a response now and
 * then, the end of its limit would not be noticed.
 */
const MIN_RATE_PER_S = 0.25;

/** Time whose permits may accumulate unused, in milliseconds: a few rounds of allocation. */
const ACCUMULATION_MS = 300;

/** The same for a limit that holds in every second, in milliseconds. */
const STRICT_ACCUMULATION_MS = 150;

/** Rate at which requests are sent to an endpoint with a limit, in requests per second. @internal */
export function effectiveRate(requestsPerS: number): number {
  return Math.max(MIN_RATE_PER_S, requestsPerS);
}

/** Draws an index in proportion to its weight; at least one weight is positive. */
function drawIndex(weights: readonly number[], random: Random): number {
  let left = random.next() * weights.reduce((sum, weight) => sum + weight, 0);
  for (const [index, weight] of weights.entries()) {
    left -= weight;
    if (left < 0) return index;
  }
  return weights.findLastIndex((weight) => weight > 0);
}

/**
 * Divides the limit of one endpoint among the instances as permits for single requests. Load pattern: an
 * endpoint in need accepts a few requests per second from all instances together, while callers come
 * through many instances or through one. Fixed shares would add up to a burst of as many requests as there
 * are instances, and would waste the share of an instance without callers; permits go where requests wait.
 * @public
 */
export class PermitAllocator {
  readonly #bucket: TokenBucket;

  #requestsPerS = 0;

  #isStrict = false;

  constructor(now: number) {
    // Starts empty, since instances may have used permits of another leader.
    this.#bucket = new TokenBucket(0, 0, now);
  }

  /** Sets the rate. @param isStrict whether it holds in every second, not only over several */
  setRate(requestsPerS: number, now: number, isStrict = false): void {
    if (requestsPerS === this.#requestsPerS && isStrict === this.#isStrict) return;
    this.#requestsPerS = requestsPerS;
    this.#isStrict = isStrict;
    const rate = effectiveRate(requestsPerS);
    const accumulationMs = isStrict ? STRICT_ACCUMULATION_MS : ACCUMULATION_MS;
    this.#bucket.resize(rate, Math.max(1, (rate * accumulationMs) / 1000), now);
  }

  /**
   * Takes back permits that an instance has not used in time. Those of a strict limit lapse: granted again,
   * they would add to the permits of the next second.
   */
  return(count: number, now: number): void {
    if (!this.#isStrict) this.#bucket.consume(-count, now);
  }

  /** Allocates the available permits, urgent ranks first and in proportion to the demand within a rank. */
  allocate<Source>(
    demands: readonly PermitDemand<Source>[],
    now: number,
    random: Random,
  ): Map<Source, number> {
    const granted = new Map<Source, number>();
    const ranks = Math.max(0, ...demands.map(({ wanted }) => wanted.length));
    let available = Math.floor(this.#bucket.level(now));
    for (let rank = 0; rank < ranks && available > 0; rank += 1) {
      const weights = demands.map(({ wanted }) => Math.max(0, wanted[rank] ?? 0));
      while (available > 0 && weights.some((weight) => weight > 0)) {
        const index = drawIndex(weights, random);
        const { source } = demands[index] as PermitDemand<Source>;
        weights[index] = Math.max(0, (weights[index] as number) - 1);
        granted.set(source, (granted.get(source) ?? 0) + 1);
        this.#bucket.consume(1, now);
        available -= 1;
      }
    }
    return granted;
  }
}
