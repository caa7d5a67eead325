import type { Journal, Random, Timer } from '@berylwood/base';
import { EndpointPermits, StatedLimit, type LimitStatement } from '@berylwood/policy';
import { gatewayEvents } from './events';
import type { AttemptId, EndpointId } from './ids';
import type { StatedConditions } from './Wire';

/** What an instance knows about the fleet that shares the endpoints. @internal */
export interface FleetView {
  /** Number of instances that share the endpoints. */
  readonly instances: () => number;
  /** Whether a leader allocates the permits of endpoints with a limit. */
  readonly hasPermitLeader: () => boolean;
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
}

/** Time for which the end of a limit is shared with other instances, in milliseconds. */
const SHARE_END_MS = 10_000;

/** The conditions that an endpoint states in its responses, and the permits that they require. @internal */
export class EndpointStatements {
  /** Permits for requests while the endpoint has a limit. */
  readonly permits: EndpointPermits;

  readonly #endpoint: EndpointId;

  readonly #parts: EndpointParts;

  /** Requests per second that the endpoint accepts from all instances together. */
  readonly #rate = new StatedLimit();

  #rateSource: StatementSource | undefined;

  #rateChangedAt = -Infinity;

  #hasLoggedInvalid = false;

  constructor(endpoint: EndpointId, parts: EndpointParts) {
    this.#endpoint = endpoint;
    this.#parts = parts;
    this.permits = new EndpointPermits(parts.random);
  }

  /** Requests per second that the endpoint accepts from all instances together; Infinity without a limit. */
  get requestsPerS(): number {
    return this.#rate.value;
  }

  get isLimited(): boolean {
    return this.#rate.isLimited;
  }

  /** The latest statement of a limit, or of its end. */
  get rateStatement(): LimitStatement {
    return this.#rate.statement;
  }

  /** Whether other instances need the statement: there is a limit, or it has ended recently. */
  get isRateShared(): boolean {
    return this.isLimited || this.#parts.timer.now() - this.#rateChangedAt < SHARE_END_MS;
  }

  /** Whether the endpoint accepts a request of this instance now. */
  get acceptsRequest(): boolean {
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
    const value = stated.requestsPerS ?? Infinity;
    this.mergeRate({ value, sentAt, receivedAt }, { request });
  }

  /** Merges a statement about the limit. */
  mergeRate(statement: LimitStatement, source: StatementSource): void {
    if (!this.#rate.merge(statement)) return;
    this.#rateSource = source;
    this.#rateChangedAt = this.#parts.timer.now();
    const fields = { endpoint: this.#endpoint, ...source };
    if (this.isLimited) {
      const { requestsPerS } = this;
      this.#parts.journal.record(gatewayEvents.endpointLimited, { ...fields, requestsPerS });
    } else this.#parts.journal.record(gatewayEvents.endpointLimitEnded, fields);
  }

  /** Describes the limit for the log. */
  describe(): LimitDescription {
    const now = this.#parts.timer.now();
    return {
      endpoint: this.#endpoint,
      requestsPerS: this.requestsPerS,
      ageMs: Math.round(now - this.#rate.statement.receivedAt),
      source: this.#rateSource,
      permits: this.permits.held(now),
    };
  }
}
