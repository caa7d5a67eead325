import { CircuitBreaker } from '@berylwood/policy';
import type { EndpointColdness } from './EndpointColdness';
import { EndpointPace } from './EndpointPace';
import type { EndpointParts } from './EndpointStatements';
import { gatewayEvents } from './events';
import type { ListedEndpoint } from './Wire';

/**
 * First time for which a failed endpoint is ejected, in milliseconds. Afterwards one request probes it;
 * each failed probe doubles the time, up to `MAX_EJECTION_MS`.
 */
const EJECTION_MS = 1500;

const MAX_EJECTION_MS = 6000;

/** Consecutive failed responses after which an endpoint is ejected even though it accepts connections. */
const CONSECUTIVE_FAILURES = 4;

/** @internal */
export interface EndpointHealthOptions {
  readonly parts: EndpointParts;
  readonly coldness: EndpointColdness;
  readonly listed: () => ListedEndpoint;
  /** Requests of this instance that are in flight. */
  readonly inFlight: () => number;
}

/** Whether an endpoint is ejected after failures, and how it recovers. @internal */
export class EndpointHealth {
  /** Pace of requests after a start or an ejection. */
  readonly pace: EndpointPace;

  readonly #options: EndpointHealthOptions;

  /** Opens on the first failed connection. */
  readonly #connectBreaker = new CircuitBreaker({
    failureThreshold: 1,
    openMs: EJECTION_MS,
    maxOpenMs: MAX_EJECTION_MS,
  });

  /** Opens on consecutive failed responses. */
  readonly #responseBreaker = new CircuitBreaker({
    failureThreshold: CONSECUTIVE_FAILURES,
    openMs: EJECTION_MS,
    maxOpenMs: MAX_EJECTION_MS,
  });

  constructor(options: EndpointHealthOptions) {
    this.#options = options;
    const { parts, listed, inFlight } = options;
    const { isPaced, onRecovered, hasPermitLeader, instances } = parts.fleet;
    this.pace = new EndpointPace({
      endpoint: listed().id,
      timer: parts.timer,
      journal: parts.journal,
      instances,
      hasLeader: hasPermitLeader,
      isEnabled: () => isPaced?.() ?? false,
      slots: () => Math.max(1, listed().slots),
      inFlight,
      onEnd: (cause, { inTime }) => {
        onRecovered?.(cause);
        if (cause === 'failed' && inTime === 0) this.#othersFailed();
      },
    });
  }

  /** Whether the endpoint is not ejected, or a request may probe it. */
  get allowsRequest(): boolean {
    const now = this.#now;
    const isAllowed = this.#connectBreaker.allows(now) && this.#responseBreaker.allows(now);
    // Not every instance sends a probe: an endpoint that is tried after an ejection is paced.
    if (isAllowed && this.#isEjected) this.pace.begin('tried');
    return isAllowed;
  }

  sent(): void {
    this.#connectBreaker.sent();
    this.#responseBreaker.sent();
  }

  /** Records the first event of a response without a server error; an ejected endpoint recovers with it. */
  responded(isInTime: boolean): void {
    if (this.#isEjected && isInTime && this.pace.isEnabled) {
      this.answered();
      if (!this.#isEjected) this.pace.begin('answered');
    }
    this.pace.observe(isInTime ? 'inTime' : 'late');
  }

  /** Records that the endpoint recovers, as other instances have seen; an ejection becomes a probe. */
  othersAnswered(): void {
    // An instance that has no trouble with the endpoint must not use it less because another one had.
    if (!this.pace.isEnabled || !this.#isEjected) return;
    this.pace.begin('learnt');
    if (!this.pace.takeRetry()) return;
    this.#connectBreaker.endOpenTime();
    this.#responseBreaker.endOpenTime();
  }

  /** Records a complete response without a server error. */
  answered(): void {
    this.#connectBreaker.succeeded();
    this.#responseBreaker.succeeded();
    this.#updateColdness();
  }

  /** Records a failed or incomplete response. */
  failed(): void {
    this.#connectBreaker.abandoned();
    this.pace.observe('failed');
    this.#recordFailure(this.#responseBreaker, 'consecutive failed responses');
  }

  /** Records a failed connection, which ejects the endpoint. */
  unreachable(): void {
    this.#responseBreaker.abandoned();
    this.pace.observe('failed');
    this.#recordFailure(this.#connectBreaker, 'no connection');
  }

  /** Records a request whose end tells nothing about the endpoint's health. */
  abandoned(): void {
    this.#connectBreaker.abandoned();
    this.#responseBreaker.abandoned();
  }

  get #now(): number {
    return this.#options.parts.timer.now();
  }

  get #isEjected(): boolean {
    return this.#connectBreaker.state !== 'closed' || this.#responseBreaker.state !== 'closed';
  }

  /** Ejects the endpoint, as its recovery has failed on other instances before it has served this one. */
  #othersFailed(): void {
    const wasEjected = this.#isEjected;
    this.#connectBreaker.trip(this.#now);
    this.#updateColdness();
    if (!wasEjected) this.#logEjection('failed on other instances');
  }

  #recordFailure(breaker: CircuitBreaker, reason: string): void {
    const before: string = breaker.state;
    breaker.failed(this.#now);
    this.#updateColdness();
    if (before !== 'open' && breaker.state === 'open') this.#logEjection(reason);
  }

  #logEjection(reason: string): void {
    const { listed, parts } = this.#options;
    const { id, pool } = listed();
    parts.journal.record(gatewayEvents.endpointSpared, { endpoint: id, pool, reason });
  }

  #updateColdness(): void {
    this.#options.coldness.setEjected(this.#isEjected, this.#now);
  }
}
