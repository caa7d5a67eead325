import type { Journal, Random, Timer } from '@berylwood/base';
import {
  EndpointPermits,
  StatedLimit,
  type LimitStatement,
  type RecoveryEnd,
} from '@berylwood/policy';
import type { EndpointColdness } from './EndpointColdness';
import { gatewayEvents } from './events';
import type { AttemptId, EndpointId, PoolName } from './ids';
import type { ColdStart } from './RoutingConfiguration';
import type { StatedConditions } from './Wire';

/** What an instance knows about the fleet that shares the endpoints. */
interface FleetView {
  /** Number of instances that share the endpoints. */
  readonly instances: () => number;
  /** Whether a leader allocates the permits of endpoints with a limit. */
  readonly hasPermitLeader: () => boolean;
  /** What cold endpoints of a pool accept; undefined if they are never cold. */
  readonly coldStart?: (pool: PoolName) => ColdStart | undefined;
  /** Whether endpoints are paced after a start or an ejection. */
  readonly isPaced?: () => boolean;
  /** Called at the end of a recovery. */
  readonly onRecovered?: (cause: RecoveryEnd) => void;
}

/** @internal */
export interface EndpointParts {
  readonly timer: Timer;
  readonly journal: Journal;
  readonly random: Random;
  readonly fleet: FleetView;
}

/** Where a statement of an endpoint comes from. @internal */
export type StatementSource =
  | { readonly request: AttemptId | undefined }
  /** Another instance, or the leader for all of them. */
  | { readonly instance: string };

/** A limit of an endpoint for the log. @internal */
export interface LimitDescription {
  readonly endpoint: EndpointId;
  readonly requestsPerS: number;
  /** Time since the limit was last stated, in milliseconds. */
  readonly ageMs: number;
  readonly source: StatementSource | undefined;
  /** Permits that this instance holds unused. */
  readonly permits: number;
  /** Remaining pause, in milliseconds; 0 without one. */
  readonly pausedMs: number;
}

/** Kinds of statements that hold for all instances. @internal */
export const STATEMENT_KINDS = ['rate', 'leaving'] as const;

/** @internal */
export type StatementKind = (typeof STATEMENT_KINDS)[number];

const CHANGE_EVENTS = {
  rate: { started: gatewayEvents.endpointLimited, ended: gatewayEvents.endpointLimitEnded },
  leaving: { started: gatewayEvents.endpointLeaving, ended: gatewayEvents.endpointStaying },
};

/** Time for which the end of a restriction is shared with other instances, in milliseconds. */
const SHARE_END_MS = 10_000;

/** The conditions that an endpoint states in its responses, and the permits that they require. @internal */
export class EndpointStatements {
  /** Permits for requests while the endpoint has a limit. */
  readonly permits: EndpointPermits;

  readonly #endpoint: EndpointId;

  readonly #parts: EndpointParts;

  readonly #stated = {
    /** Requests per second that the endpoint accepts from all instances together. */
    rate: new StatedLimit(),
    /** 0 while the endpoint states that it is leaving. */
    leaving: new StatedLimit(),
  };

  readonly #sources: Partial<Record<StatementKind, StatementSource>> = {};

  readonly #changedAt: Record<StatementKind, number> = { rate: -Infinity, leaving: -Infinity };

  #pausedUntil = -Infinity;

  #hasLoggedInvalid = false;

  #wasCold = false;

  constructor(
    endpoint: EndpointId,
    parts: EndpointParts,
    /** Whether the endpoint may be cold, which limits it beside its own statements. */
    readonly coldness: EndpointColdness,
  ) {
    this.#endpoint = endpoint;
    this.#parts = parts;
    this.permits = new EndpointPermits(parts.random);
  }

  /** Requests per second that the endpoint accepts from all instances together; Infinity without a limit. */
  get requestsPerS(): number {
    return Math.min(this.#stated.rate.value, this.coldness.requestsPerS(this.#parts.timer.now()));
  }

  get isLimited(): boolean {
    return this.#stated.rate.isLimited || this.isCold;
  }

  /** Whether the endpoint is, or may be, cold after a start. */
  get isCold(): boolean {
    return this.coldness.isCold(this.#parts.timer.now());
  }

  /** Whether the endpoint states that it is leaving; it receives no more requests. */
  get isLeaving(): boolean {
    return this.#stated.leaving.isLimited;
  }

  /** Time for which the endpoint has stated that it is leaving, in milliseconds. */
  get leavingMs(): number {
    return this.#parts.timer.now() - this.#changedAt.leaving;
  }

  /** Time for which the endpoint wants no more requests from this instance, in milliseconds. */
  get pausedMs(): number {
    return Math.max(0, this.#pausedUntil - this.#parts.timer.now());
  }

  /** Kinds of statements that other instances need: those that restrict requests, or have ended recently. */
  get sharedKinds(): StatementKind[] {
    const since = this.#parts.timer.now() - SHARE_END_MS;
    return STATEMENT_KINDS.filter(
      (kind) => this.#stated[kind].isLimited || this.#changedAt[kind] > since,
    );
  }

  /** Whether other instances need any of the statements. */
  get isShared(): boolean {
    if (this.isLimited || this.isLeaving) return true;
    const since = this.#parts.timer.now() - SHARE_END_MS;
    return Math.max(this.#changedAt.rate, this.#changedAt.leaving) > since;
  }

  /** The latest statement of a kind, or of its end. */
  statementOf(kind: StatementKind): LimitStatement {
    return this.#stated[kind].statement;
  }

  /** Whether the endpoint accepts a request of this instance now. */
  get acceptsRequest(): boolean {
    if (this.isLeaving || this.pausedMs > 0) return false;
    return this.hasPermit;
  }

  /** Whether a request to the endpoint is within its limit. */
  get hasPermit(): boolean {
    this.updateColdness();
    if (!this.isLimited) return true;
    const { fleet, timer } = this.#parts;
    const hasLeader = fleet.hasPermitLeader();
    const conditions = { requestsPerS: this.requestsPerS, instances: fleet.instances(), hasLeader };
    return this.permits.isAvailable(conditions, timer.now());
  }

  /** Uses a permit for a request that the endpoint accepts; returns whether it needed one. */
  takePermit(): boolean {
    if (this.isLimited) this.permits.take();
    return this.isLimited;
  }

  /** Records the conditions that a response states. `sentAt` is the time at which the request was sent. */
  observe(stated: StatedConditions, request: AttemptId | undefined, sentAt: number): void {
    if (stated.invalid.length > 0 && !this.#hasLoggedInvalid) {
      this.#hasLoggedInvalid = true;
      const fields = { endpoint: this.#endpoint, request, values: stated.invalid };
      this.#parts.journal.record(gatewayEvents.statementInvalid, fields);
    }
    const receivedAt = this.#parts.timer.now();
    if (stated.pauseMs !== undefined) this.#pause(stated.pauseMs, request);
    const values = {
      rate: stated.requestsPerS ?? Infinity,
      leaving: stated.isLeaving ? 0 : Infinity,
    };
    for (const kind of STATEMENT_KINDS) {
      this.merge(kind, { value: values[kind], sentAt, receivedAt }, { request });
    }
  }

  /** Adds permits that the leader has granted. */
  grant(count: number): void {
    this.updateColdness();
    this.permits.grant(count, this.#parts.timer.now(), this.isCold);
  }

  /** Logs whether the endpoint has become cold or is no longer so; in the first case, its permits end. */
  updateColdness(): void {
    const { isCold } = this;
    if (isCold === this.#wasCold) return;
    this.#wasCold = isCold;
    const { timer, journal } = this.#parts;
    if (isCold) this.permits.drop();
    const event = isCold ? gatewayEvents.endpointCold : gatewayEvents.endpointWarm;
    const remainingMs = Math.round(this.coldness.remainingMs(timer.now()));
    const requestsPerS = this.isLimited ? this.requestsPerS : undefined;
    journal.record(event, { endpoint: this.#endpoint, remainingMs, requestsPerS });
  }

  /** Merges a statement, which may be another instance's. */
  merge(kind: StatementKind, statement: LimitStatement, source: StatementSource): void {
    if (!this.#stated[kind].merge(statement)) return;
    this.#sources[kind] = source;
    this.#changedAt[kind] = this.#parts.timer.now();
    const isRestricting = this.#stated[kind].isLimited;
    const event = isRestricting ? CHANGE_EVENTS[kind].started : CHANGE_EVENTS[kind].ended;
    const requestsPerS = this.isLimited ? this.requestsPerS : undefined;
    this.#parts.journal.record(event, { endpoint: this.#endpoint, ...source, requestsPerS });
  }

  #pause(pauseMs: number, request: AttemptId | undefined): void {
    if (this.pausedMs === 0) {
      const fields = { endpoint: this.#endpoint, request, pauseMs };
      this.#parts.journal.record(gatewayEvents.endpointPaused, fields);
    }
    this.#pausedUntil = Math.max(this.#pausedUntil, this.#parts.timer.now() + pauseMs);
  }

  /** Describes the limit for the log. */
  describe(): LimitDescription {
    const now = this.#parts.timer.now();
    return {
      endpoint: this.#endpoint,
      requestsPerS: this.requestsPerS,
      ageMs: Math.round(now - this.#stated.rate.statement.receivedAt),
      source: this.#sources.rate,
      permits: this.permits.held(now),
      pausedMs: Math.round(this.pausedMs),
    };
  }
}
