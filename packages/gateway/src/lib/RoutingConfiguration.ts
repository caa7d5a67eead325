import type { PoolName, RouteName, WorkspaceName } from './ids';

/**
 * What may be repeated: `repeatable` requests may run any number of times, `once` requests at most
 * once; a `stream` is a series of events that may be repeated only if it can be resumed.
 * @public
 */
export type RequestKind = 'repeatable' | 'once' | 'stream';

/** A pool that a route sends to, with its share of the requests. @public */
export interface Target {
  readonly pool: PoolName;
  readonly weight: number;
}

/** A rule for the requests of one host whose path begins with a prefix. @public */
export interface Route {
  readonly name: RouteName;
  readonly host: string;
  readonly prefix: string;
  readonly kind: RequestKind;
  /** Whether a broken stream may go on at another endpoint after its last event. */
  readonly isResumable: boolean;
  /** Longest time until the final answer, in milliseconds. */
  readonly timeoutMs: number;
  /** Time within which the first byte of an answer is worth most, in milliseconds. */
  readonly objectiveMs: number;
  /** Longest pause between events of a stream that is on time, in milliseconds; 0 if not given. */
  readonly pauseMs: number;
  /** 0 is the most urgent. */
  readonly rank: number;
  readonly targets: readonly Target[];
  /** Endpoints that one request may be sent to. */
  readonly maxAttempts: number;
  /** Whether callers need no key. */
  readonly isAnonymous: boolean;
  /** Whether requests name the parts of their prompts, so that a warm cache can be used. */
  readonly hasAffinity: boolean;
}

/** Model engines of a pool. @public */
export interface EngineTraits {
  /** Requests that one engine runs at a time. */
  readonly slots: number;
  /** Tokens that one engine holds in memory. */
  readonly kvCacheTokens: number;
}

/** @public */
export interface Pool {
  readonly name: PoolName;
  readonly healthPath: string;
  /** Connections that one endpoint takes from all instances together. */
  readonly maxConnections: number;
  /** Absent for plain services. */
  readonly engine: EngineTraits | undefined;
}

/** Bounds on what callers may send. @public */
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
  /** Goes before the rank of a route. */
  readonly rank: number | undefined;
}

/** A whole routing configuration as operators send it. @public */
export interface RoutingConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly pools: readonly Pool[];
  readonly limits: CallerLimits;
  /** Undefined if callers need no keys. */
  readonly workspaces: readonly Workspace[] | undefined;
}
