import type { EndpointId } from '@berylwood/schema';
import { CircuitBreaker } from '../health/CircuitBreaker';
import type { Candidate } from '../Job';
import { EndpointLoad } from './EndpointLoad';
import type { EndpointPool } from './EndpointPool';

/** One entry's state for an endpoint. @internal */
export class Endpoint {
  readonly id: EndpointId;

  readonly load: EndpointLoad;

  readonly breaker = new CircuitBreaker();

  /** Pools that contain the endpoint, one for each model or service that it serves. */
  pools: readonly EndpointPool[] = [];

  constructor(candidate: Candidate) {
    this.id = candidate.endpoint;
    this.load = new EndpointLoad(candidate);
  }
}
