import type { IncomingMessage, ServerResponse } from 'node:http';
import { Failure, Lifecycle, type Code } from '@berylwood/base';
import { ResponseRelay } from './ResponseRelay';
import { Attempt, type ResponseHead, type AttemptEnd, type AttemptListener } from './Attempt';
import { AttemptHistory } from './AttemptHistory';
import { gatewayCodes } from './codes';
import { composeAttempt } from './composeAttempt';
import { ContentGuard } from './ContentGuard';
import { describeRequest } from './describeRequest';
import { exchangeTable, type ExchangeEvent } from './exchangeMachine';
import type { GatewayContext } from './GatewayContext';
import { logAttemptFailure } from './logAttemptFailure';
import { ResponseTiming } from './ResponseTiming';
import { placeRequest } from './placeRequest';
import { readBody } from './readBody';
import { retryAfterOf } from './retryAfterOf';
import { resolveRequest, type ResolvedRequest } from './resolveRequest';
import type { RequestRecord } from './RequestLog';
import { sendFailure } from './sendFailure';
import { StallDetector } from './StallDetector';
import { startsTooLate } from './startsTooLate';

/** One attempt of a caller, from its arrival to the end of its response. @internal */
export class Exchange implements AttemptListener {
  readonly #context: GatewayContext;

  readonly #request: IncomingMessage;

  readonly #response: ServerResponse;

  readonly #arrivedAt: number;

  readonly #lifecycle = new Lifecycle<ExchangeEvent, undefined>(exchangeTable);

  #resolved: ResolvedRequest | undefined;

  #body: Buffer = Buffer.alloc(0);

  #deadlineAt = Infinity;

  #deadlineTimer: Disposable | undefined;

  #detector: StallDetector | undefined;

  #guard: ContentGuard | undefined;

  #attempt: Attempt | undefined;

  #relay: ResponseRelay | undefined;

  /** Hold on a request that waits for the start of the instance or for an endpoint. */
  #hold: Disposable | undefined;

  readonly #history = new AttemptHistory();

  readonly #timing = new ResponseTiming();

  /** Expected time until the end of the prefill, as of the latest placement. */
  #expectedPrefillMs = 0;

  constructor(context: GatewayContext, request: IncomingMessage, response: ServerResponse) {
    this.#context = context;
    this.#request = request;
    this.#response = response;
    this.#arrivedAt = context.timer.now();
  }

  get #leftMs(): number {
    return this.#deadlineAt - this.#context.timer.now();
  }

  /** Resolves, reads and places the request; while the instance is starting, holds it first. */
  start(): void {
    this.#response.on('close', () => this.#onCallerClosed());
    this.#response.on('drain', () => this.#attempt?.resume());
    const { startGate, wire } = this.#context;
    if (startGate.isHolding) {
      const { deadlineMs } = wire.readRequest(this.#request.rawHeaders);
      const onTimeout = (): void => this.#onTimeout();
      this.#hold = startGate.wait({ onRelease: () => this.#resolve(), deadlineMs, onTimeout });
    } else this.#resolve();
  }

  #resolve(): void {
    const resolved = resolveRequest(this.#context, this.#request);
    if (resolved.isErr()) {
      this.#respondWithFailure(resolved.error);
      return;
    }
    this.#resolved = resolved.value;
    const { metadata, route, table, target } = resolved.value;
    const allowedMs = Math.min(metadata.deadlineMs ?? Infinity, route.timeoutMs);
    this.#deadlineAt = this.#arrivedAt + allowedMs;
    this.#deadlineTimer = this.#context.timer.after(this.#leftMs, () => this.#onTimeout());
    this.#context.budgets.recordRequest(target);
    readBody(this.#request, table.configuration.limits.maxBodyBytes, (body) => this.#onBody(body));
  }

  onHead(head: ResponseHead): void {
    if (!head.isEventStream) this.#detector?.[Symbol.dispose]();
    if (!this.#relay) this.#relay = new ResponseRelay(this.#response, this.#context.wire);
    if (this.#relay.isHeadSent && !head.isEventStream) {
      this.#attempt?.abort(`stream not resumed, status ${head.status}`);
      return;
    }
    this.#relay.setHead(head, this.#context.isStopping());
    if (!head.isEventStream) this.#answerBegan();
  }

  onData(chunk: Buffer): boolean {
    const answer = this.#relay as ResponseRelay;
    const { hasSentEvents: hadSentEvents, forwardedBytes } = answer;
    const isWritable = answer.push(chunk);
    if (answer.exceededLimit) {
      this.#attempt?.abort(`the response exceeds ${answer.exceededLimit}`);
      return false;
    }
    // Bytes of an incomplete event are no progress.
    if (answer.forwardedBytes > forwardedBytes) {
      this.#timing.mark(this.#context.timer.now());
      this.#detector?.eventReceived();
    }
    if (answer.hasSentEvents && !hadSentEvents) {
      this.#answerBegan();
      this.#attempt?.prefillFinished();
      this.#attempt?.endpoint.executionStarted(this.#parts.resolved.rank, this.#attempt.startedAt);
    }
    if (answer.isHeadSent && this.#lifecycle.can('answer')) this.#lifecycle.send('answer');
    return isWritable;
  }

  onEnd(end: AttemptEnd): void {
    this.#detector?.[Symbol.dispose]();
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
        if (end.isConnectionLost) this.#onConnectionLost(end.reason);
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

  #onBody(body: Buffer | 'tooLarge' | 'gone'): void {
    if (this.#lifecycle.isFinal) return;
    const { context, resolved } = this.#parts;
    if (body === 'gone') {
      this.#onCallerClosed();
    } else if (body === 'tooLarge') {
      this.#respondWithFailure(new Failure(gatewayCodes.bodyTooLarge, 'the body is too large'));
    } else {
      this.#body = body;
      this.#guard = new ContentGuard(context, resolved, this.#request, body);
      this.#lifecycle.send('read');
      this.#placeAndSend();
    }
  }

  #placeAndSend(): void {
    const { context, resolved } = this.#parts;
    const quarantined = this.#guard?.findQuarantined();
    if (quarantined !== undefined) {
      this.#abort(gatewayCodes.quarantined, `quarantined content ${quarantined}`);
      return;
    }
    const placement = placeRequest(context, resolved, this.#history.triedEndpoints);
    if (placement === undefined) {
      this.#holdBack();
      return;
    }
    const { endpoint, tokens, prefillMs } = placement;
    this.#expectedPrefillMs = prefillMs;
    if (this.#history.sends === 0 && startsTooLate(resolved, prefillMs, this.#leftMs)) {
      this.#abort(gatewayCodes.overloaded, 'expected to start too late');
      return;
    }
    if (endpoint.statements.takePermit()) context.held.recordTaken(resolved.target);
    this.#history.sent(endpoint.listed.id);
    this.#lifecycle.send('send');
    const outgoing = composeAttempt(context, resolved, this.#request, {
      endpoint: endpoint.listed.id,
      leftMs: this.#leftMs,
      body: this.#body,
      tokens,
      resumeAfter: this.#relay?.lastEventId,
    });
    this.#guard?.sent();
    this.#attempt = new Attempt(endpoint, outgoing, this, context);
    const { timer } = context;
    const onStall = (reason: string): void => this.#onStall(reason);
    this.#detector = new StallDetector({ timer, attempt: this.#attempt, ...resolved, onStall });
  }

  /** Waits until an endpoint accepts the request, or ends it. */
  #holdBack(): void {
    this.#hold = this.#context.held.hold({
      resolved: this.#parts.resolved,
      leftMs: this.#leftMs,
      triedEndpoints: this.#history.triedEndpoints,
      onTurn: () => this.#placeAndSend(),
      onRejected: ({ code, message, retryAfterMs }) => this.#abort(code, message, retryAfterMs),
    });
  }

  get #parts(): { context: GatewayContext; resolved: ResolvedRequest } {
    return { context: this.#context, resolved: this.#resolved as ResolvedRequest };
  }

  #onComplete(): void {
    const answer = this.#relay as ResponseRelay;
    if (answer.isEventStream && answer.partialEventBytes > 0) {
      const reason = 'stream ended within an event';
      this.onEnd({ type: 'broken', reason, isConnectionLost: true });
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
    return this.#history.canRetry(this.#parts.resolved.route, this.#leftMs, isNotRun);
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
    this.#relay?.reset();
    timer.after(delayMs, () => {
      if (!this.#lifecycle.isFinal) this.#placeAndSend();
    });
    return true;
  }

  /** Ends the request without a complete response; a response whose head was sent is cut. */
  #abort(code: Code, reason: string, retryAfterMs?: number): void {
    if (this.#lifecycle.isFinal) return;
    const codeIfRun = code.notRun === true ? gatewayCodes.outcomeUnknown : code;
    if (this.#relay?.isHeadSent) {
      this.#lifecycle.send('fail');
      this.#response.destroy();
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

  #onCallerClosed(): void {
    if (this.#lifecycle.isFinal) return;
    this.#lifecycle.send('leave');
    this.#attempt?.cancel();
    this.#finish(gatewayCodes.callerGone.status, gatewayCodes.callerGone.number, 'caller gone');
  }

  #respondWithFailure(failure: Failure): void {
    this.#lifecycle.send('fail');
    const { random, isStopping } = this.#context;
    const retryMs = retryAfterOf(failure, this.#leftMs, random);
    sendFailure(this.#response, failure, retryMs, isStopping() || !this.#request.complete);
    this.#finish(failure.code.status, failure.code.number, failure.message);
  }

  #answerBegan(): void {
    const { context, resolved } = this.#parts;
    context.countStartedRequest(resolved.workspace?.name);
    this.#guard?.answered();
  }

  #logAttemptFailure(type: string, reason: string): void {
    const tries = { attempt: this.#attempt, sends: this.#history.sends, leftMs: this.#leftMs };
    logAttemptFailure(this.#context, this.#parts.resolved, tries, { type, reason });
  }

  #finish(status: number, code: number | undefined, reason: string | undefined): void {
    this.#hold?.[Symbol.dispose]();
    this.#deadlineTimer?.[Symbol.dispose]();
    this.#detector?.[Symbol.dispose]();
    const { context } = this.#parts;
    const record: RequestRecord = {
      ...describeRequest(context, this.#resolved),
      endpoint: this.#attempt?.endpoint.listed.id,
      status,
      code,
      reason,
      sends: this.#history.sends,
      limitPerS: this.#attempt?.limitPerS,
      firstMs: this.#timing.firstAt && this.#timing.firstAt - this.#arrivedAt,
      expectedMs: this.#expectedPrefillMs,
      pauseMs: this.#timing.longestPauseMs,
      totalMs: context.timer.now() - this.#arrivedAt,
    };
    if (code === undefined && reason === undefined) context.log.served(record);
    else context.log.failed(record);
  }
}
