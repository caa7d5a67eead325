import type { DataCentreId, EndpointId } from '@berylwood/schema';

/** What an engine serves: a change of any part is rolled out. @public */
export interface EngineSetup {
  readonly model: string;
  readonly version: string;
  /** Adapters, in order of name. */
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
  /** Attempts that run or wait there. */
  readonly load: number;
  /** Bytes that the weight store must deliver for the change; 0 for a change of role. */
  readonly loadBytes: number;
}

/** What a rollout wants done. @public */
export type RolloutDecision =
  | { readonly type: 'drain'; readonly endpoint: EndpointId }
  /** Nothing runs there: load the wanted setup, then serve again. */
  | { readonly type: 'load'; readonly endpoint: EndpointId; readonly setup: EngineSetup };

/** Options of a rollout. @public */
export interface RolloutOptions {
  /** Rate limit of the weight store, in bytes a second. */
  readonly storeBytesPerSecond: number;
  /** Part of the endpoints that goes on serving. Default 0.8. */
  readonly minimumServing?: number;
}

const DEFAULT_MINIMUM_SERVING = 0.8;

/** Allows for rounding of a product of binary fractions. */
const EPSILON = 1e-9;

/**
 * Changes models, versions, adapters and roles in steps: one data centre at a time, no more
 * endpoints out of service than allowed, and loads no faster than the weight store delivers.
 * @public
 */
export class RolloutPolicy {
  readonly #options: Required<RolloutOptions>;

  /** Time from which the weight store is free, in milliseconds. */
  #storeFreeAt = -Infinity;

  constructor(options: RolloutOptions) {
    this.#options = { minimumServing: DEFAULT_MINIMUM_SERVING, ...options };
  }

  /** Decisions for all endpoints of one model or role. */
  decide(endpoints: readonly RolloutEndpoint[], now: number): RolloutDecision[] {
    return [...this.#load(endpoints, now), ...this.#drain(endpoints)];
  }

  /** Starts one load when the weight store has delivered the one before. */
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
