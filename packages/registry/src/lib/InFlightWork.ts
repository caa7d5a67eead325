import type { EndpointWork } from './MeshMessage';

/**
 * Work in flight to endpoints, by the instance that has sent it. Each instance receives the sum
 * over all other instances, as its own figures are more current.
 * @internal
 */
export class InFlightWork<Source> {
  readonly #sources = new Map<Source, readonly EndpointWork[]>();

  set(source: Source, endpoints: readonly EndpointWork[]): void {
    this.#sources.set(source, endpoints);
  }

  delete(source: Source): void {
    this.#sources.delete(source);
  }

  /** Sum of the work of all sources except one. */
  sumExcluding(source: Source): EndpointWork[] {
    const sums = new Map<string, { tokens: number[]; requests: number }>();
    for (const [other, endpoints] of this.#sources) {
      if (other === source) continue;
      for (const [endpoint, tokens, requests] of endpoints) {
        const sum = sums.get(endpoint) ?? { tokens: [], requests: 0 };
        tokens.forEach((count, rank) => {
          sum.tokens[rank] = (sum.tokens[rank] ?? 0) + count;
        });
        sum.requests += requests;
        sums.set(endpoint, sum);
      }
    }
    return [...sums].map(([endpoint, { tokens, requests }]) => [endpoint, tokens, requests]);
  }
}
