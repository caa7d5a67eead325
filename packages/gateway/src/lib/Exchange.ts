import type { IncomingMessage, ServerResponse } from 'node:http';
import { Failure, Lifecycle, type Code } from '@berylwood/base';
import { admits, retryAfterMs } from '@berylwood/policy';
import { Answer } from './Answer';
import { Attempt, type AnswerHead, type AttemptEnd, type AttemptListener } from './Attempt';
import { gatewayCodes } from './codes';
import { composeAttempt } from './composeAttempt';
import { mayRepeat } from './mayRepeat';
import { describeRequest } from './describeRequest';
import { gatewayEvents } from './events';
import { exchangeTable, type ExchangeEvent } from './exchangeMachine';
import type { GatewayContext } from './GatewayContext';
import { Pace } from './Pace';
import { placeRequest } from './placeRequest';
import { readBody } from './readBody';
import { resolveRequest, type ResolvedRequest } from './resolveRequest';
import type { RequestRecord } from './RequestLog';
import { sendFailure } from './sendFailure';
import { SilenceWatch } from './SilenceWatch';

/** Time in which a refused caller finds room, in milliseconds: about one answer of an engine. */
const ROOM_IN_MS = 600;

/** One client attempt, from its arrival to its final answer. @internal */
export class Exchange implements AttemptListener {
  readonly #context: GatewayContext;

  readonly #request: IncomingMessage;

  readonly #response: ServerResponse;

  readonly #arrivedAt: number;

  readonly #life = new Lifecycle<ExchangeEvent, undefined>(exchangeTable);

  #resolved: ResolvedRequest | undefined;

  #body: Buffer = Buffer.alloc(0);

  #endsAt = Infinity;

  #endTimer: Disposable | undefined;

  #silence: SilenceWatch | undefined;

  #attempt: Attempt | undefined;

  #answer: Answer | undefined;

  /** Wait of a request that came while the instance was starting. */
  #hold: Disposable | undefined;

  readonly #tried = new Set<string>();

  #sends = 0;

  #misses = 0;

  /** Whether an endpoint may have run the request. */
  #mayHaveRun = false;

  readonly #pace = new Pace();

  /** Expected time until its prompt is read, when it was placed. */
  #expectedMs = 0;

  constructor(context: GatewayContext, request: IncomingMessage, response: ServerResponse) {
    this.#context = context;
    this.#request = request;
    this.#response = response;
    this.#arrivedAt = context.timer.now();
  }

  get #leftMs(): number {
    return this.#endsAt - this.#context.timer.now();
  }

  /** Reads the request and places it, once the instance knows enough. */
  start(): void {
    this.#response.on('close', () => this.#onCallerClosed());
    this.#response.on('drain', () => this.#attempt?.resume());
    const { gate, wire } = this.#context;
    if (gate.isHolding) {
      const { deadlineMs } = wire.readRequest(this.#request.rawHeaders);
      const onTimeout = (): void => this.#onTimeout();
      this.#hold = gate.wait({ onRelease: () => this.#resolve(), deadlineMs, onTimeout });
    } else this.#resolve();
  }

  #resolve(): void {
    const resolved = resolveRequest(this.#context, this.#request);
    if (resolved.isErr()) {
      this.#refuse(resolved.error);
      return;
    }
    this.#resolved = resolved.value;
    const { facts, route, table, target } = resolved.value;
    const givenMs = Math.min(facts.deadlineMs ?? Infinity, route.timeoutMs);
    this.#endsAt = this.#arrivedAt + givenMs;
    this.#endTimer = this.#context.timer.after(this.#leftMs, () => this.#onTimeout());
    this.#context.budgets.arrived(target);
    readBody(this.#request, table.configuration.limits.maxBodyBytes, (body) => this.#onBody(body));
  }

  onHead(head: AnswerHead): void {
    if (!head.isEventStream) this.#silence?.[Symbol.dispose]();
    if (!this.#answer) this.#answer = new Answer(this.#response, this.#context.wire);
    if (this.#answer.isStarted && !head.isEventStream) {
      this.#attempt?.reject(`stream not resumed, status ${head.status}`);
      return;
    }
    this.#answer.begin(head, this.#context.isStopping());
    if (!head.isEventStream) this.#countRun();
  }

  onData(chunk: Buffer): boolean {
    const answer = this.#answer as Answer;
    const hadEvents = answer.hasEvents;
    const isWritable = answer.push(chunk);
    if (answer.isStarted) {
      this.#pace.mark(this.#context.timer.now());
      this.#silence?.heard();
    }
    if (answer.hasEvents && !hadEvents) {
      this.#countRun();
      this.#attempt?.promptRead();
      this.#attempt?.endpoint.begun(this.#parts.resolved.rank, this.#attempt.startedAt);
    }
    if (answer.isStarted && this.#life.can('answer')) this.#move('answer');
    return isWritable;
  }

  onEnd(end: AttemptEnd): void {
    this.#silence?.[Symbol.dispose]();
    switch (end.type) {
      case 'complete':
        this.#onComplete();
        break;
      case 'unsent':
        this.#misses += 1;
        this.#sends -= 1;
        this.#noteFailure(end.type, end.reason);
        this.#repeat(gatewayCodes.noEndpoint, end.reason);
        break;
      case 'refused':
        this.#attempt?.endpoint.refused(end.head.facts.isMisdirected);
        this.#noteFailure(end.type, `status ${end.head.status}`);
        this.#repeat(gatewayCodes.overloaded, `refused by the endpoint (${end.head.status})`);
        break;
      default:
        this.#mayHaveRun = true;
        this.#attempt?.endpoint.failed();
        this.#noteFailure(end.type, end.reason);
        this.#repeat(gatewayCodes.outcomeUnknown, end.reason);
    }
  }

  /** Takes the request away from an endpoint that has fallen silent, if it can be repeated. */
  #onSilence(reason: string): void {
    const { context, resolved } = this.#parts;
    const hasBudget = context.budgets.has(resolved.target);
    if (hasBudget && this.#mayRepeat(false)) this.#attempt?.reject(reason);
  }

  #onBody(body: Buffer | 'tooLarge' | 'gone'): void {
    if (this.#life.isFinal) return;
    if (body === 'gone') {
      this.#onCallerClosed();
    } else if (body === 'tooLarge') {
      this.#refuse(new Failure(gatewayCodes.bodyTooLarge, 'the body is too large'));
    } else {
      this.#body = body;
      this.#move('read');
      this.#place();
    }
  }

  #place(): void {
    const { context, resolved } = this.#parts;
    const placed = placeRequest(context, resolved, this.#tried);
    if (placed === undefined) {
      this.#giveUp(gatewayCodes.noEndpoint, 'no endpoint can take it');
      return;
    }
    this.#expectedMs = placed.readMs;
    if (this.#isTooLate(placed.readMs)) {
      this.#giveUp(gatewayCodes.overloaded, 'it would begin too late');
      return;
    }
    const { endpoint, tokens } = placed;
    this.#tried.add(endpoint.listed.id);
    this.#sends += 1;
    this.#move('send');
    const outgoing = composeAttempt(context, resolved, this.#request, {
      endpoint: endpoint.listed.id,
      leftMs: this.#leftMs,
      body: this.#body,
      tokens,
      resumeAfter: this.#answer?.lastEventId,
    });
    this.#attempt = new Attempt(endpoint, outgoing, this, context);
    const { timer } = context;
    const onSilence = (reason: string): void => this.#onSilence(reason);
    this.#silence = new SilenceWatch({ timer, attempt: this.#attempt, ...resolved, onSilence });
  }

  /**
   * Whether a request that no endpoint has got yet should be turned away. Only the least urgent
   * route of a pool is: the queue at one engine says little of the room that others have.
   */
  #isTooLate(prefillMs: number): boolean {
    const { route, facts, table, target } = this.#parts.resolved;
    if (this.#sends > 0 || !table.isLeastUrgent(route, target)) return false;
    const { objectiveMs, timeoutMs } = route;
    const leftMs = this.#leftMs;
    return !admits({ prefillMs, objectiveMs, timeoutMs, leftMs, budgetMs: facts.deadlineMs });
  }

  get #parts(): { context: GatewayContext; resolved: ResolvedRequest } {
    return { context: this.#context, resolved: this.#resolved as ResolvedRequest };
  }

  #onComplete(): void {
    const answer = this.#answer as Answer;
    if (answer.isEventStream && answer.hasRest) {
      this.onEnd({ type: 'broken', reason: 'stream ended within an event' });
      return;
    }
    const { isFailure } = answer;
    if (isFailure) {
      this.#mayHaveRun = true;
      this.#attempt?.endpoint.failed();
      this.#noteFailure('answer', `status ${answer.status}`);
      if (this.#mayRepeat(false) && this.#tryRepeat()) return;
    } else this.#attempt?.endpoint.answered();
    answer.finish();
    this.#move('finish');
    this.#end(answer.status, undefined, isFailure ? 'failed at the endpoint' : undefined);
  }

  #mayRepeat(isNotRun: boolean): boolean {
    const { kind, isResumable, maxAttempts } = this.#parts.resolved.route;
    const tries = { sends: this.#sends, misses: this.#misses, leftMs: this.#leftMs };
    return mayRepeat({ kind, isResumable, maxAttempts, isNotRun, ...tries });
  }

  /** Sends the request to another endpoint, or ends it with a code that says what is known. */
  #repeat(code: Code, reason: string): void {
    if (this.#life.isFinal) return;
    if (this.#mayRepeat(!this.#mayHaveRun) && this.#tryRepeat()) return;
    this.#giveUp(code, reason);
  }

  /** Places the request again if the budget has room; what reached no endpoint is free. */
  #tryRepeat(): boolean {
    const { context, resolved } = this.#parts;
    const isFree = this.#sends === 0;
    const { budgets, random, timer } = context;
    const delayMs = isFree ? 0 : budgets.take(resolved.target, this.#sends, this.#leftMs, random);
    if (delayMs === undefined || !this.#move('retry')) return false;
    this.#answer?.reset();
    timer.after(delayMs, () => {
      if (!this.#life.isFinal) this.#place();
    });
    return true;
  }

  /** Ends the request without a complete answer; a stream that has begun is cut. */
  #giveUp(code: Code, reason: string): void {
    if (this.#life.isFinal) return;
    if (this.#answer?.isStarted) {
      this.#move('fail');
      this.#response.destroy();
      const known = code.notRun === true ? gatewayCodes.outcomeUnknown : code;
      this.#end(this.#answer.status, known.number, reason);
      return;
    }
    const isUnknown = code.notRun === true && this.#mayHaveRun;
    this.#refuse(new Failure(isUnknown ? gatewayCodes.outcomeUnknown : code, reason));
  }

  #onTimeout(): void {
    if (this.#life.isFinal) return;
    const isSent = this.#attempt?.isSent ?? false;
    this.#attempt?.cancel();
    const code = isSent || this.#mayHaveRun ? gatewayCodes.answerLate : gatewayCodes.notRunInTime;
    this.#giveUp(code, 'the time of the request has ended');
  }

  #onCallerClosed(): void {
    if (this.#life.isFinal) return;
    this.#move('leave');
    this.#attempt?.cancel();
    this.#end(gatewayCodes.callerGone.status, gatewayCodes.callerGone.number, 'caller gone');
  }

  #refuse(failure: Failure): void {
    this.#move('fail');
    const { context } = this.#parts;
    const mayReturn = failure.code.status === 503;
    const retryMs = mayReturn
      ? retryAfterMs(ROOM_IN_MS, Math.max(0, this.#leftMs), context.random)
      : undefined;
    sendFailure(this.#response, failure, retryMs, context.isStopping() || !this.#request.complete);
    this.#end(failure.code.status, failure.code.number, failure.message);
  }

  #move(event: ExchangeEvent): boolean {
    return this.#life.send(event);
  }

  #countRun(): void {
    const { context, resolved } = this.#parts;
    context.countRun(resolved.workspace?.name);
  }

  #noteFailure(type: string, reason: string): void {
    const { context, resolved } = this.#parts;
    context.journal.record(gatewayEvents.attemptFailed, {
      request: resolved.facts.attempt,
      endpoint: this.#attempt?.endpoint.listed.id,
      type,
      reason,
      sends: this.#sends,
      leftMs: Math.round(this.#leftMs),
    });
  }

  #end(status: number, code: number | undefined, reason: string | undefined): void {
    this.#hold?.[Symbol.dispose]();
    this.#endTimer?.[Symbol.dispose]();
    this.#silence?.[Symbol.dispose]();
    const { context } = this.#parts;
    const record: RequestRecord = {
      ...describeRequest(context, this.#resolved),
      endpoint: this.#attempt?.endpoint.listed.id,
      status,
      code,
      reason,
      sends: this.#sends,
      firstMs: this.#pace.firstAt && this.#pace.firstAt - this.#arrivedAt,
      expectedMs: this.#expectedMs,
      pauseMs: this.#pace.longestPauseMs,
      totalMs: context.timer.now() - this.#arrivedAt,
    };
    if (code === undefined && reason === undefined) context.log.served(record);
    else context.log.failed(record);
  }
}
