import type { DataCentreId, EndpointId } from '@berylwood/schema';

/** What an engine serves. A change of any field is rolled out. @public */
export interface EngineSetup {
  readonly model: string;
  readonly version: string;
  /** Adapters, sorted by name. */
  readonly adapters: readonly string[];
  readonly role: 'both' | 'prefill' | 'decode';
}

/** An endpoint in a rollout. @public */
export interface RolloutEndpoint {
  readonly endpoint: EndpointId;
  readonly dataCentre: DataCentreId;
  readonly setup: EngineSetup;
  readonly desired: EngineSetup;
  readonly state: 'serving' | 'draining' | 'loading';
  /** Number of attempts that run or wait there. */
  readonly load: number;
  /** Bytes that the change loads from the weight store; 0 for a change of role. */
  readonly loadBytes: number;
}

/** A rollout action to execute. @public */
export type RolloutDecision =
  | { readonly type: 'drain'; readonly endpoint: EndpointId }
  /** The endpoint has drained: load the desired setup, then resume serving. */
  | { readonly type: 'load'; readonly endpoint: EndpointId; readonly setup: EngineSetup };

/** Options of a rollout. @public */
export interface RolloutOptions {
  /** Rate limit of the weight store, in bytes per second. */
  readonly storeBytesPerSecond: number;
  /** Fraction of the endpoints that must keep serving. Default 0.8. */
  readonly minimumServing?: number;
}

const DEFAULT_MINIMUM_SERVING = 0.8;

/** Tolerance for the rounding error of a floating-point product. */
const EPSILON = 1e-9;

/**
 * Rolls out changes of models, versions, adapters and roles in steps: in one data centre at a time,
 * with no more endpoints out of service than allowed, and without exceeding the rate limit of the
 * weight store.
 * @public
 */
export class RolloutPolicy {
  readonly #options: Required<RolloutOptions>;

  /** Time at which the weight store has delivered the current load, in milliseconds. */
  #storeFreeAt = -Infinity;

  constructor(options: RolloutOptions) {
    this.#options = { minimumServing: DEFAULT_MINIMUM_SERVING, ...options };
  }

  /** Decisions for all endpoints of one model or role. */
  decide(endpoints: readonly RolloutEndpoint[], now: number): RolloutDecision[] {
    return [...this.#load(endpoints, now), ...this.#drain(endpoints)];
  }

  /** Loads drained endpoints one after the other. Changes without bytes to load do not wait. */
  #load(endpoints: readonly RolloutEndpoint[], now: number): RolloutDecision[] {
    const ready = endpoints.filter(({ state, load }) => state === 'draining' && load === 0);
    const decisions: RolloutDecision[] = [];
    for (const { endpoint, desired, loadBytes } of ready) {
      if (loadBytes > 0 && now < this.#storeFreeAt) continue;
      const loadMs = (loadBytes / this.#options.storeBytesPerSecond) * 1000;
      if (loadBytes > 0) this.#storeFreeAt = now + loadMs;
      decisions.push({ type: 'load', endpoint, setup: desired });
    }
    return decisions;
  }

  #drain(endpoints: readonly RolloutEndpoint[]): RolloutDecision[] {
    const serving = endpoints.filter(({ state }) => state === 'serving');
    const outOfService = endpoints.length - serving.length;
    const allowed = Math.max(1, this.#maxOutOfService(endpoints.length)) - outOfService;
    const outdated = serving.filter(({ setup, desired }) => !isSameSetup(setup, desired));
    const busy = endpoints.find(({ state }) => state !== 'serving');
    const dataCentre = busy?.dataCentre ?? outdated[0]?.dataCentre;
    return outdated
      .filter((endpoint) => endpoint.dataCentre === dataCentre)
      .sort((a, b) => a.load - b.load)
      .slice(0, Math.max(0, allowed))
      .map(({ endpoint }) => ({ type: 'drain', endpoint }));
  }

  #maxOutOfService(count: number): number {
    return Math.floor(count * (1 - this.#options.minimumServing) + EPSILON);
  }
}

function isSameSetup(a: EngineSetup, b: EngineSetup): boolean {
  const isSame = a.model === b.model && a.version === b.version && a.role === b.role;
  return isSame && a.adapters.join(' ') === b.adapters.join(' ');
}
