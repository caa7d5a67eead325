import type { EndpointId, RequestId } from '@berylwood/schema';

/** Tracks the endpoint of each running request that one entry has dispatched. @internal */
export class Assignments {
  readonly #endpoints = new Map<RequestId, EndpointId>();

  readonly #counts = new Map<EndpointId, number>();

  /** Number of requests running on an endpoint. */
  countOf(endpoint: EndpointId): number {
    return this.#counts.get(endpoint) ?? 0;
  }

  start(request: RequestId, endpoint: EndpointId): void {
    this.#endpoints.set(request, endpoint);
    this.#counts.set(endpoint, this.countOf(endpoint) + 1);
  }

  /** Removes a request that has ended. Unknown requests are ignored. */
  end(request: RequestId): void {
    const endpoint = this.#endpoints.get(request);
    if (endpoint === undefined) return;
    this.#endpoints.delete(request);
    this.#counts.set(endpoint, this.countOf(endpoint) - 1);
  }
}
