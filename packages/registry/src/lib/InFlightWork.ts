import type { EndpointWork } from './MeshMessage';

interface WorkSum {
  /** Tokens by rank. */
  readonly tokens: number[];
  requests: number;
  /** Number of sources with work at the endpoint. */
  sources: number;
}

/** Adds work to a sum, or subtracts it if `sign` is -1. */
function accumulate(sum: WorkSum, [, tokens, requests]: EndpointWork, sign: 1 | -1): void {
  tokens.forEach((count, rank) => {
    sum.tokens[rank] = (sum.tokens[rank] ?? 0) + sign * count;
  });

  sum.requests += sign * requests;

  sum.sources += sign;
}

/**
 * Work in flight to endpoints, by the instance that has sent it. Each instance receives the sum
 * over all other instances, as its own figures are more current. The sum over all sources is kept, so
 * that the cost of a report does not grow with the number of instances.
 * @internal
 */
export class InFlightWork<Source> {
  readonly #sources = new Map<Source, ReadonlyMap<string, EndpointWork>>();

  readonly #sums = new Map<string, WorkSum>();

  set(source: Source, endpoints: readonly EndpointWork[]): void {
    this.delete(source);
    const work = new Map(endpoints.map((item) => [item[0], item]));
    this.#sources.set(source, work);
    for (const [endpoint, item] of work) {
      const sum = this.#sums.get(endpoint) ?? { tokens: [], requests: 0, sources: 0 };
      this.#sums.set(endpoint, sum);
      accumulate(sum, item, 1);
    }
  }

  delete(source: Source): void {
    for (const [endpoint, item] of this.#sources.get(source) ?? []) {
      const sum = this.#sums.get(endpoint);
      if (!sum) continue;
      accumulate(sum, item, -1);
      if (sum.sources === 0) this.#sums.delete(endpoint);
    }
    this.#sources.delete(source);
  }

  /** Sum of the work of all sources except one. */
  sumExcluding(source: Source): EndpointWork[] {
    const own = this.#sources.get(source);
    const result: EndpointWork[] = [];
    for (const [endpoint, sum] of this.#sums) {
      const item = own?.get(endpoint);
      if (!item) result.push([endpoint, sum.tokens, sum.requests]);
      else if (sum.sources > 1) {
        const rest = { ...sum, tokens: [...sum.tokens] };
        accumulate(rest, item, -1);
        result.push([endpoint, rest.tokens, rest.requests]);
      }
    }
    return result;
  }
}
