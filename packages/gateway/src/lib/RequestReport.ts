import { admissionPrefillMs } from './admissionPrefillMs';
import type { Attempt } from './Attempt';
import { AttemptHistory } from './AttemptHistory';
import { describeRequest } from './describeRequest';
import type { GatewayContext } from './GatewayContext';
import { logAttemptFailure } from './logAttemptFailure';
import type { RequestRecord } from './RequestLog';
import type { Placement } from './placeRequest';
import type { ResolvedRequest } from './resolveRequest';
import { ResponseTiming } from './ResponseTiming';

/** How a request ended. @internal */
export interface RequestEnd {
  readonly status: number;
  /** Number of the result code of this system; undefined for a response of an endpoint. */
  readonly code: number | undefined;
  /** Undefined if the request was served. */
  readonly reason: string | undefined;
  /** Number of events relayed; undefined if the body was not read as a stream of events. */
  readonly events: number | undefined;
}

/** Collects what the log lines of one request state, and writes them. @internal */
export class RequestReport {
  readonly history = new AttemptHistory();

  readonly timing = new ResponseTiming();

  /** Where the request was placed last, whether or not it was sent. */
  placement: Placement | undefined;

  /** What became of the record or the search of the stream's version. */
  #origin: Pick<RequestRecord, 'origin' | 'originMs'> = { origin: undefined, originMs: undefined };

  /** Time of the request's arrival, in milliseconds. */
  readonly arrivedAt: number;

  readonly #context: GatewayContext;

  constructor(context: GatewayContext) {
    this.#context = context;
    this.arrivedAt = context.timer.now();
  }

  /** Notes what became of the record or the search of the stream's version. */
  originSettled(origin: RequestRecord['origin'], startedAt: number): void {
    this.#origin = { origin, originMs: this.#context.timer.now() - startedAt };
  }

  /** Writes the line of an attempt that produced no usable response. */
  attemptFailed(
    resolved: ResolvedRequest,
    attempt: Attempt | undefined,
    cause: { readonly type: string; readonly reason: string; readonly leftMs: number },
  ): void {
    const { leftMs, type, reason } = cause;
    const tries = { attempt, sends: this.history.sends, leftMs };
    logAttemptFailure(this.#context, resolved, tries, { type, reason });
  }

  /** Writes the line of the request's end. */
  ended(
    resolved: ResolvedRequest | undefined,
    attempt: Attempt | undefined,
    { status, code, reason, events }: RequestEnd,
  ): void {
    const { log, timer } = this.#context;
    const { firstAt, longestPauseMs } = this.timing;
    const record = {
      ...describeRequest(this.#context, resolved),
      endpoint: attempt?.endpoint.listed.id,
      softwareVersion: attempt?.softwareVersion,
      status,
      code,
      reason,
      ...this.#origin,
      events,
      sends: this.history.sends,
      limitPerS: attempt?.limitPerS,
      firstMs: firstAt && firstAt - this.arrivedAt,
      expectedMs: this.placement ? admissionPrefillMs(this.placement) : 0,
      learntMs: this.placement?.expectedMs ?? 0,
      pauseMs: longestPauseMs,
      totalMs: timer.now() - this.arrivedAt,
    };
    if (code === undefined && reason === undefined) log.served(record);
    else log.failed(record);
  }
}
