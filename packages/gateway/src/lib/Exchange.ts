import type { IncomingMessage, ServerResponse } from 'node:http';
import { Failure, Lifecycle, type Code } from '@berylwood/base';
import { ResponseRelay } from './ResponseRelay';
import { Arrival } from './Arrival';
import type { Attempt, AttemptEnd, AttemptListener } from './Attempt';
import { ResponseReceiver } from './ResponseReceiver';
import type { AttemptHistory } from './AttemptHistory';
import { gatewayCodes } from './codes';
import { ContentGuard } from './ContentGuard';
import { FaultBoundary } from './FaultBoundary';
import { exchangeTable, type ExchangeEvent } from './exchangeMachine';
import { findRejection } from './findRejection';
import type { GatewayContext } from './GatewayContext';
import { placeRequest } from './placeRequest';
import { retryAfterOf } from './retryAfterOf';
import type { ResolvedRequest } from './resolveRequest';
import { RequestReport } from './RequestReport';
import { sendFailure } from './sendFailure';
import { startAttempt } from './startAttempt';
import { StreamBinding } from './StreamBinding';

/** One attempt of a caller, from its arrival to the end of its response. @internal */
export class Exchange {
  readonly #context: GatewayContext;

  readonly #request: IncomingMessage;

  readonly #response: ServerResponse;

  readonly #lifecycle = new Lifecycle<ExchangeEvent, undefined>(exchangeTable);

  #resolved: ResolvedRequest | undefined;

  #body: Buffer = Buffer.alloc(0);

  #deadlineAt = Infinity;

  #deadlineTimer: Disposable | undefined;

  #guard: ContentGuard | undefined;

  #binding: StreamBinding | undefined;

  readonly #relay: ResponseRelay;

  readonly #receiver: ResponseReceiver;

  /** Hold on a request that waits for the start of the instance or for an endpoint. */
  #hold: Disposable | undefined;

  readonly #report: RequestReport;

  /** Contains the handlers of this request: what one of them throws ends this request alone. */
  readonly #boundary = new FaultBoundary((error) => this.#onFault(error));

  /** Passes the events of an attempt on within the boundary. */
  readonly #listener: AttemptListener = {
    onHead: this.#boundary.wrap((head) => this.#receiver.onHead(head)),
    onData: (chunk) => this.#boundary.run(() => this.#receiver.onData(chunk)) ?? false,
    onEnd: this.#boundary.wrap((end) => this.#receiver.end(() => this.#onEnd(end))),
  };

  constructor(context: GatewayContext, request: IncomingMessage, response: ServerResponse) {
    this.#context = context;
    this.#request = request;
    this.#response = response;
    this.#report = new RequestReport(context);
    this.#relay = new ResponseRelay(response, context.wire);
    this.#receiver = new ResponseReceiver({
      context,
      relay: this.#relay,
      report: this.#report,
      lifecycle: this.#lifecycle,
      boundary: this.#boundary,
    });
  }

  get #attempt(): Attempt | undefined {
    return this.#receiver.attempt;
  }

  get #history(): AttemptHistory {
    return this.#report.history;
  }

  get #leftMs(): number {
    return this.#deadlineAt - this.#context.timer.now();
  }

  /** Resolves, reads and places the request; while the instance is starting, holds it first. */
  start(): void {
    const boundary = this.#boundary;
    const onClose = boundary.wrap(() => this.#onCallerClosed());
    const onDrain = boundary.wrap(() => this.#receiver.resume());
    this.#response.on('close', onClose);
    this.#response.on('drain', onDrain);
    const arrival = new Arrival(this.#context, this.#response, boundary, {
      onResolved: (resolved) => this.#onResolved(resolved),
      onBody: (body) => this.#onBody(body),
      onRejected: (failure) => this.#respondWithFailure(failure),
      onTimeout: () => this.#onTimeout(),
      onGone: () => this.#onCallerClosed(),
    });
    this.#hold = arrival;
    boundary.run(() => arrival.start());
  }

  #onResolved(resolved: ResolvedRequest): void {
    this.#resolved = resolved;
    const allowedMs = Math.min(resolved.metadata.deadlineMs ?? Infinity, resolved.route.timeoutMs);
    this.#deadlineAt = this.#report.arrivedAt + allowedMs;
    const onTimeout = this.#boundary.wrap(() => this.#onTimeout());
    this.#deadlineTimer = this.#context.timer.after(this.#leftMs, onTimeout);
  }

  #onEnd(end: AttemptEnd): void {
    this.#receiver[Symbol.dispose]();
    switch (end.type) {
      case 'complete':
        this.#onComplete();
        break;
      case 'unsent':
        this.#history.unsent();
        this.#logAttemptFailure(end.type, end.reason);
        this.#retryOrAbort(gatewayCodes.noEndpoint, end.reason);
        break;
      case 'refused':
        this.#attempt?.endpoint.refused(end.head.metadata.isMisdirected);
        this.#logAttemptFailure(end.type, `status ${end.head.status}`);
        this.#retryOrAbort(gatewayCodes.overloaded, `refused by the endpoint (${end.head.status})`);
        break;
      default:
        this.#history.mayHaveRun = true;
        this.#attempt?.endpoint.failed();
        this.#logAttemptFailure(end.type, end.reason);
        if (end.isConnectionLost) this.#onConnectionLost(end.reason).catch(this.#onFault);
        else this.#retryOrAbort(gatewayCodes.outcomeUnknown, end.reason);
    }
  }

  async #onConnectionLost(reason: string): Promise<void> {
    if (this.#attempt) await this.#guard?.lost(this.#attempt.endpoint);
    this.#retryOrAbort(gatewayCodes.outcomeUnknown, reason);
  }

  /** Aborts a stalled attempt if the request can be retried on another endpoint. */
  #onStall(reason: string): void {
    const { context, resolved } = this.#parts;
    const hasBudget = context.budgets.hasBudget(resolved.target);
    if (hasBudget && this.#canRetry(false)) this.#attempt?.abort(reason);
  }

  #onBody(body: Buffer): void {
    if (this.#lifecycle.isFinal) return;
    const { context, resolved } = this.#parts;
    this.#body = body;
    this.#guard = new ContentGuard(context, resolved, this.#request, body);
    this.#lifecycle.send('read');
    this.#binding = new StreamBinding(context, resolved);
    if (this.#binding.isResumption) this.#resume(this.#binding).catch(this.#onFault);
    else this.#placeAndSend();
  }

  /** Places a request that resumes the stream of an earlier one at the version that began it. */
  async #resume(binding: StreamBinding): Promise<void> {
    const startedAt = this.#context.timer.now();
    const pool = await binding.find();
    this.#report.originSettled(pool === undefined ? 'unknown' : 'found', startedAt);
    if (this.#lifecycle.isFinal) return;
    if (pool !== undefined) this.#resolved = { ...this.#parts.resolved, target: pool };
    this.#placeAndSend();
  }

  #placeAndSend(): void {
    const { context, resolved } = this.#parts;
    const quarantined = this.#guard?.findQuarantined();
    if (quarantined !== undefined) {
      this.#abort(gatewayCodes.quarantined, `quarantined content ${quarantined}`);
      return;
    }
    const binding = this.#binding as StreamBinding;
    const { triedEndpoints: tried } = this.#history;
    if (!binding.hasEndpoint(new Set())) {
      this.#abort(gatewayCodes.versionUnavailable, binding.describe());
      return;
    }
    const placement = placeRequest(context, resolved, { tried, binding });
    if (placement === undefined) {
      this.#holdBack();
      return;
    }
    const { endpoint, tokens } = placement;
    this.#report.placement = placement;
    const isFirst = this.#history.sends === 0;
    const rejection = isFirst && findRejection(context, resolved, placement, this.#leftMs);
    if (rejection) {
      this.#abort(gatewayCodes.overloaded, rejection.reason, rejection.retryAfterMs);
      return;
    }
    this.#history.sent(endpoint.listed.id);
    this.#lifecycle.send('send');
    this.#guard?.sent();
    const started = startAttempt(context, resolved, this.#request, {
      endpoint,
      tokens,
      body: this.#body,
      leftMs: this.#leftMs,
      resumeAfter: this.#relay.lastEventId,
      listener: this.#listener,
      onStall: this.#boundary.wrap((reason) => this.#onStall(reason)),
    });
    this.#receiver.follow(started, { resolved, binding, guard: this.#guard, placement });
  }

  /** Waits until an endpoint accepts the request, or ends it. */
  #holdBack(): void {
    this.#hold = this.#context.held.hold({
      resolved: this.#parts.resolved,
      leftMs: this.#leftMs,
      triedEndpoints: this.#history.triedEndpoints,
      allows: (endpoint) => this.#binding?.allows(endpoint) ?? true,
      onTurn: this.#boundary.wrap(() => this.#placeAndSend()),
      onRejected: this.#boundary.wrap(({ code, message, retryAfterMs }) =>
        this.#abort(code, message, retryAfterMs),
      ),
    });
  }

  get #parts(): { context: GatewayContext; resolved: ResolvedRequest } {
    return { context: this.#context, resolved: this.#resolved as ResolvedRequest };
  }

  #onComplete(): void {
    const answer = this.#relay;
    if (answer.endsInsideEvent) {
      const reason = 'stream ended within an event';
      this.#onEnd({ type: 'broken', reason, isConnectionLost: true });
      return;
    }
    const { isFailure } = answer;
    if (isFailure) {
      this.#history.mayHaveRun = true;
      this.#attempt?.endpoint.failed();
      this.#logAttemptFailure('answer', `status ${answer.status}`);
      if (this.#canRetry(false) && this.#tryRetry()) return;
    } else this.#attempt?.endpoint.answered();
    answer.finish();
    this.#lifecycle.send('finish');
    this.#finish(answer.status, undefined, isFailure ? 'endpoint returned 5xx' : undefined);
  }

  #canRetry(isNotRun: boolean): boolean {
    const { route } = this.#parts.resolved;
    const isPossible = this.#history.canRetry(route, this.#leftMs, isNotRun);
    const hasEndpoint = this.#binding?.hasEndpoint(this.#history.triedEndpoints) ?? true;
    return isPossible && hasEndpoint && this.#relay.canBeContinued;
  }

  /** Retries the request on another endpoint, or ends it with a code if that is not possible. */
  #retryOrAbort(code: Code, reason: string): void {
    if (this.#lifecycle.isFinal) return;
    if (this.#canRetry(!this.#history.mayHaveRun) && this.#tryRetry()) return;
    this.#abort(code, reason);
  }

  /** Places the request again if the budget allows; free if no attempt has reached an endpoint. */
  #tryRetry(): boolean {
    const { context, resolved } = this.#parts;
    const isFree = this.#history.sends === 0;
    const { budgets, random, timer } = context;
    const delayMs = isFree
      ? 0
      : budgets.take(resolved.target, this.#history.sends, this.#leftMs, random);
    if (delayMs === undefined || !this.#lifecycle.send('retry')) return false;
    this.#relay.reset();
    const onDelayPassed = (): void => {
      if (!this.#lifecycle.isFinal) this.#placeAndSend();
    };
    timer.after(delayMs, this.#boundary.wrap(onDelayPassed));
    return true;
  }

  /** Ends the request without a complete response; a response whose head was sent is cut. */
  #abort(code: Code, reason: string, retryAfterMs?: number): void {
    if (this.#lifecycle.isFinal) return;
    const codeIfRun = code.notRun === true ? gatewayCodes.outcomeUnknown : code;
    if (this.#relay.isHeadSent) {
      this.#lifecycle.send('fail');
      this.#relay.cut();
      this.#finish(this.#relay.status, codeIfRun.number, reason);
      return;
    }
    const stated = this.#history.mayHaveRun ? codeIfRun : code;
    this.#respondWithFailure(new Failure(stated, reason, { retryAfterMs }));
  }

  #onTimeout(): void {
    if (this.#lifecycle.isFinal) return;
    const isSent = this.#attempt?.isSent ?? false;
    this.#attempt?.cancel();
    const code =
      isSent || this.#history.mayHaveRun ? gatewayCodes.answerLate : gatewayCodes.notRunInTime;
    this.#abort(code, 'the deadline of the request has passed');
  }

  /** Ends the request after an exception; its state is not used any further. */
  readonly #onFault = (error: unknown): void => {
    const { faults } = this.#context;
    const fields = { request: this.#resolved?.metadata.attempt, path: this.#request.url };
    faults.record('request', error, fields);
    if (this.#lifecycle.isFinal) return;
    try {
      this.#attempt?.cancel();
      this.#abort(gatewayCodes.fault, String(error));
    } catch (consequence) {
      faults.record('request', consequence, fields);
      this.#response.destroy();
    }
  };

  #onCallerClosed(): void {
    if (this.#lifecycle.isFinal) return;
    this.#lifecycle.send('leave');
    this.#attempt?.cancel();
    this.#finish(gatewayCodes.callerGone.status, gatewayCodes.callerGone.number, 'caller gone');
  }

  #respondWithFailure(failure: Failure): void {
    if (!this.#lifecycle.send('fail')) return;
    const { random, isStopping, timer } = this.#context;
    const retryMs = retryAfterOf(failure, this.#leftMs, random);
    sendFailure(this.#response, failure, { retryMs, isStopping: isStopping(), timer });
    this.#finish(failure.code.status, failure.code.number, failure.message);
  }

  #logAttemptFailure(type: string, reason: string): void {
    const cause = { type, reason, leftMs: this.#leftMs };
    this.#report.attemptFailed(this.#parts.resolved, this.#attempt, cause);
  }

  #finish(status: number, code: number | undefined, reason: string | undefined): void {
    this.#hold?.[Symbol.dispose]();
    this.#deadlineTimer?.[Symbol.dispose]();
    this.#receiver[Symbol.dispose]();
    const { eventCount: events } = this.#relay;
    this.#report.ended(this.#resolved, this.#attempt, { status, code, reason, events });
  }
}
