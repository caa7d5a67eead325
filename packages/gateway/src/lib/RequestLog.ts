import type { Journal, Metrics, Timer } from '@berylwood/base';
import type { RecordOutcome } from '@berylwood/registry';
import { gatewayCodes } from './codes';
import { gatewayEvents } from './events';

/** Maximum lines of served requests per second. */
const MAX_SERVED_LINES_PER_S = 40;

/** Maximum lines per second of requests that were rejected for what they are; other failures are always written. */
const MAX_REJECTED_LINES_PER_S = 100;

/** Codes of requests that are rejected without a look at the load, so that a client can cause any number. */
const REJECTIONS: ReadonlySet<number | undefined> = new Set([
  gatewayCodes.noRoute.number,
  gatewayCodes.keyUnknown.number,
  gatewayCodes.bodyTooLarge.number,
  gatewayCodes.requestMalformed.number,
  gatewayCodes.memorySpent.number,
]);

const SECOND_MS = 1000;

/** Fields of the log line that is written at the end of a request. @internal */
export interface RequestRecord {
  readonly request: string | undefined;
  /** The caller's attempt whose stream it resumes. */
  readonly resumes: string | undefined;
  readonly route: string | undefined;
  readonly workspace: string | undefined;
  readonly pool: string | undefined;
  /** Rank that was sent to the endpoint; 0 is the most urgent. */
  readonly rank: number | undefined;
  readonly endpoint: string | undefined;
  readonly softwareVersion: string | undefined;
  /**
   * For a stream that began here, whether its version was recorded before its caller had an event; for one that is
   * resumed, whether its version was found. Undefined for other requests.
   */
  readonly origin: RecordOutcome | 'found' | 'unknown' | undefined;
  /** Time that this took, in milliseconds. */
  readonly originMs: number | undefined;
  readonly status: number;
  /** Number of the result code of this system; undefined for a response of an endpoint. */
  readonly code: number | undefined;
  readonly reason: string | undefined;
  /** Number of events relayed; undefined if the body was not read as a stream of events. */
  readonly events: number | undefined;
  /** Number of endpoints that may have received bytes of the request. */
  readonly sends: number;
  /** Limit of the endpoint when the request was placed, in requests per second; undefined without one. */
  readonly limitPerS: number | undefined;
  readonly firstMs: number | undefined;
  /** Time until the end of the prefill by which it was admitted, in milliseconds; 0 for calls. */
  readonly expectedMs: number;
  /** The same as expected from what was learnt about the engine. */
  readonly learntMs: number;
  /** Longest pause between parts of the response, in milliseconds. */
  readonly pauseMs: number;
  readonly promptTokens: number | undefined;
  readonly totalMs: number;
  /** Deadline that the caller stated, in milliseconds from the arrival. */
  readonly deadlineMs: number | undefined;
  /** Version of the routing configuration that the request was handled with. */
  readonly version: number | undefined;
  /** Age of the list of endpoints, in milliseconds. */
  readonly listAgeMs: number;
}

/**
 * Writes one log line per request and counts requests in the metrics. Load patterns: a burst of served requests, or
 * clients whose requests are all rejected, must not fill the log, so the lines of both are rate limited and omitted
 * ones are counted. Lines of other failed requests are always written.
 * @internal
 */
export class RequestLog {
  readonly #journal: Journal;

  readonly #timer: Timer;

  readonly #requests;

  readonly #firstByteSeconds;

  readonly #requestSeconds;

  readonly #firstServedSeconds;

  readonly #startedAt: number;

  #hasServed = false;

  #secondStartedAt = -Infinity;

  #written = 0;

  #rejected = 0;

  #omitted = 0;

  constructor(journal: Journal, timer: Timer, metrics: Metrics) {
    this.#journal = journal;
    this.#timer = timer;
    const labels = ['route', 'outcome'];
    this.#requests = metrics.counter('requests_total', 'Requests ended, by outcome', labels);
    this.#firstByteSeconds = metrics.histogram('first_byte_seconds', 'Time to the first byte', [
      'route',
    ]);
    this.#requestSeconds = metrics.histogram('request_seconds', 'Time to the end', ['route']);
    this.#startedAt = timer.now();
    const help =
      'Time from the start of the instance to the end of the first request that it served';
    this.#firstServedSeconds = metrics.gauge('first_served_seconds', help);
  }

  served(record: RequestRecord): void {
    this.#count(record, 'served');
    const now = this.#timer.now();
    if (!this.#hasServed) this.#firstServedSeconds.set((now - this.#startedAt) / SECOND_MS);
    this.#hasServed = true;
    this.#startSecond(now);
    if (this.#written >= MAX_SERVED_LINES_PER_S) {
      this.#omitted += 1;
      return;
    }
    this.#written += 1;
    this.#journal.record(gatewayEvents.requestServed, { ...record });
  }

  failed(record: RequestRecord): void {
    this.#count(record, String(record.code ?? record.status));
    if (REJECTIONS.has(record.code)) {
      this.#startSecond(this.#timer.now());
      this.#rejected += 1;
      if (this.#rejected > MAX_REJECTED_LINES_PER_S) {
        this.#omitted += 1;
        return;
      }
    }
    this.#journal.record(gatewayEvents.requestFailed, { ...record });
  }

  #count({ route = 'none', firstMs, totalMs }: RequestRecord, outcome: string): void {
    this.#requests.inc({ route, outcome });
    if (firstMs !== undefined) this.#firstByteSeconds.observe({ route }, firstMs / SECOND_MS);
    this.#requestSeconds.observe({ route }, totalMs / SECOND_MS);
  }

  /** Begins to count anew if a second has passed. */
  #startSecond(now: number): void {
    if (now - this.#secondStartedAt < SECOND_MS) return;
    if (this.#omitted > 0) {
      this.#journal.record(gatewayEvents.linesLeftOut, { lines: this.#omitted });
    }
    this.#secondStartedAt = now;
    this.#written = 0;
    this.#rejected = 0;
    this.#omitted = 0;
  }
}
