import { request as sendRequest, type IncomingMessage } from 'node:http';
import { DisposableStore, type Journal, type Timer } from '@berylwood/base';
import { splitAddress } from '@berylwood/link';
import type { Endpoint } from './Endpoint';
import type { EndpointDirectory } from './EndpointDirectory';
import { gatewayEvents } from './events';
import { FaultBoundary } from './FaultBoundary';
import type { FaultLog } from './FaultLog';
import { findMalformedHeader } from './findMalformedHeader';
import type { PoolName } from './ids';
import type { Wire } from './Wire';

/** Interval between health checks of an endpoint that is leaving, in milliseconds. */
const CHECK_INTERVAL_MS = 5000;

/** Interval at which due checks are started, in milliseconds. */
const POLL_INTERVAL_MS = 1000;

const CHECK_TIMEOUT_MS = 1000;

const OK = 200;

/** @internal */
export interface LeavingCheckOptions {
  readonly directory: EndpointDirectory;
  readonly wire: Wire;
  readonly timer: Timer;
  readonly journal: Journal;
  readonly faults: FaultLog;
  readonly healthPath: (pool: PoolName) => string;
  /** Whether this instance checks for all instances. */
  readonly isChecker: () => boolean;
}

/**
 * Checks whether endpoints that stated that they were leaving still do. Since they receive no more requests,
 * no other response would show that an endpoint stays, or that it has started again under its id.
 * @internal
 */
export class LeavingCheck implements Disposable {
  readonly #options: LeavingCheckOptions;

  readonly #store = new DisposableStore();

  readonly #checkedAt = new WeakMap<Endpoint, number>();

  constructor(options: LeavingCheckOptions) {
    this.#options = options;
    this.#store.add(options.timer.every(POLL_INTERVAL_MS, () => this.#startChecks()));
  }

  [Symbol.dispose](): void {
    this.#store[Symbol.dispose]();
  }

  #startChecks(): void {
    const { directory, isChecker, timer } = this.#options;
    if (!isChecker()) return;
    for (const endpoint of directory.endpoints) {
      const { statements, listed, isEvacuated } = endpoint;
      const sinceCheckMs = timer.now() - (this.#checkedAt.get(endpoint) ?? -Infinity);
      const sinceMs = Math.min(statements.leavingMs, sinceCheckMs);
      const isDue =
        statements.isLeaving && !listed.isDraining && !isEvacuated && sinceMs >= CHECK_INTERVAL_MS;
      if (isDue && statements.hasPermit && statements.pausedMs === 0) this.#contain(endpoint);
    }
  }

  /** Checks an endpoint; an exception ends this check alone. */
  #contain(endpoint: Endpoint): void {
    const { faults } = this.#options;
    const fields = { endpoint: endpoint.listed.id };
    const boundary = new FaultBoundary((error) => faults.record('healthCheck', error, fields));
    boundary.run(() => this.#check(endpoint, boundary));
  }

  #check(endpoint: Endpoint, boundary: FaultBoundary): void {
    const { wire, timer, journal, healthPath } = this.#options;
    const { listed, statements, agent } = endpoint;
    const sentAt = timer.now();
    this.#checkedAt.set(endpoint, sentAt);
    statements.takePermit();
    const check = sendRequest({
      ...splitAddress(listed.address),
      path: healthPath(listed.pool),
      headers: wire.healthCheckHeaders(listed.id) as unknown as Record<string, string>,
      agent,
      setHost: false,
    });
    const timeout = this.#store.add(timer.after(CHECK_TIMEOUT_MS, () => check.destroy()));
    const onResponse = boundary.wrap((response: IncomingMessage) => {
      const { statusCode: status = 0, rawHeaders } = response;
      response.resume();
      // The status has been read; what breaks afterwards is only the connection.
      response.on('error', () => check.destroy());
      const isWellFormed = findMalformedHeader(rawHeaders) === undefined;
      if (status !== OK || !isWellFormed) return;
      const { conditions, load, coldRemainingMs } = wire.readResponse(status, rawHeaders);
      if (load) endpoint.observeLoad(load);
      statements.coldness.observeResponse(coldRemainingMs, sentAt, timer.now());
      statements.observe(conditions, undefined, sentAt);
    });
    check.on('response', onResponse);
    check.on('error', (error) => {
      journal.record(gatewayEvents.healthCheckFailed, {
        endpoint: listed.id,
        error: String(error),
      });
    });
    check.on('close', () => this.#store.release(timeout));
    check.end();
  }
}
