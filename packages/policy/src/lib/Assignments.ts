import type { EndpointId, RequestId } from '@berylwood/schema';

/** Which request runs on which endpoint, as far as one entry has sent it. @internal */
export class Assignments {
  readonly #endpoints = new Map<RequestId, EndpointId>();

  readonly #counts = new Map<EndpointId, number>();

  /** Requests that run on an endpoint. */
  countOf(endpoint: EndpointId): number {
    return this.#counts.get(endpoint) ?? 0;
  }

  start(request: RequestId, endpoint: EndpointId): void {
    this.#endpoints.set(request, endpoint);
    this.#counts.set(endpoint, this.countOf(endpoint) + 1);
  }

  /** Ends a request; one that does not run is ignored. */
  end(request: RequestId): void {
    const endpoint = this.#endpoints.get(request);
    if (endpoint === undefined) return;
    this.#endpoints.delete(request);
    this.#counts.set(endpoint, this.countOf(endpoint) - 1);
  }
}
