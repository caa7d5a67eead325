import type { PoolName, RouteName, WorkspaceName } from './ids';

/**
 * Whether requests may be retried. `repeatable` requests may run any number of times, `once` requests at
 * most once. A `stream` is a series of events and may be retried only if it can be resumed.
 * @public
 */
export type RequestKind = 'repeatable' | 'once' | 'stream';

/** A pool that a route sends requests to, with its weight. @public */
export interface Target {
  readonly pool: PoolName;
  readonly weight: number;
}

/** Routing rule for requests with a host and a path prefix. @public */
export interface Route {
  readonly name: RouteName;
  readonly host: string;
  readonly prefix: string;
  readonly kind: RequestKind;
  /** Whether a broken stream may resume on another endpoint after its last event. */
  readonly isResumable: boolean;
  /** Maximum time until the response is complete, in milliseconds. */
  readonly timeoutMs: number;
  /** Objective for the time to the first byte, in milliseconds. */
  readonly objectiveMs: number;
  /** Objective for the longest pause between events of a stream, in milliseconds; 0 if not given. */
  readonly pauseMs: number;
  /** 0 is the most urgent. */
  readonly rank: number;
  readonly targets: readonly Target[];
  /** Maximum number of endpoints that one request may be sent to. */
  readonly maxAttempts: number;
  /** Whether callers need no key. */
  readonly isAnonymous: boolean;
  /** Whether requests name the parts of their prompts, so that cached prefixes can be used. */
  readonly hasAffinity: boolean;
}

/** Properties of the model engines of a pool. @public */
export interface EngineTraits {
  /** Requests that one engine runs concurrently. */
  readonly slots: number;
  /** Capacity of the KV cache of one engine, in tokens. */
  readonly kvCacheTokens: number;
}

/** What the endpoints of a pool accept for some time after a start. @public */
export interface ColdStart {
  /** Time for which an endpoint is cold after a start, in milliseconds. */
  readonly durationMs: number;
  /** Requests per second that a cold endpoint accepts from all instances together. */
  readonly requestsPerS: number;
}

/** @public */
export interface Pool {
  readonly name: PoolName;
  readonly healthPath: string;
  /** Maximum number of connections of all instances together to one endpoint. */
  readonly maxConnections: number;
  /** Absent for plain services. */
  readonly engine: EngineTraits | undefined;
  /** Absent if the endpoints are never cold. */
  readonly coldStart?: ColdStart | undefined;
}

/** Limits on callers' requests and connections. @public */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** @public */
export interface Workspace {
  readonly name: WorkspaceName;
  readonly keys: readonly string[];
  /** Takes precedence over the rank of a route. */
  readonly rank: number | undefined;
}

/** A complete routing configuration, as decoded from an operator's document. @public */
export interface RoutingConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly pools: readonly Pool[];
  readonly limits: CallerLimits;
  /** Undefined if callers need no keys. */
  readonly workspaces: readonly Workspace[] | undefined;
}
