import type { Lifecycle } from '@berylwood/base';
import type { Attempt } from './Attempt';
import { EngineObserver } from './EngineObserver';
import type { ContentGuard } from './ContentGuard';
import type { ExchangeEvent } from './exchangeMachine';
import type { FaultBoundary } from './FaultBoundary';
import { countedRequest } from './findRejection';
import { findStreamProblem } from './findStreamProblem';
import type { GatewayContext } from './GatewayContext';
import type { Placement } from './placeRequest';
import type { RequestReport } from './RequestReport';
import type { ResolvedRequest } from './resolveRequest';
import type { ResponseHead } from './readResponseHead';
import { ResponseMemory } from './ResponseMemory';
import type { ResponseRelay } from './ResponseRelay';
import type { StallDetector } from './StallDetector';
import type { StartedAttempt } from './startAttempt';
import type { StreamBinding } from './StreamBinding';
import type { StreamRun } from './StreamRun';

/** The parts of an exchange that take note of its response. @internal */
export interface ResponseReceiverParts {
  readonly context: GatewayContext;
  readonly relay: ResponseRelay;
  readonly report: RequestReport;
  readonly lifecycle: Lifecycle<ExchangeEvent, undefined>;
  readonly boundary: FaultBoundary;
}

/** The request to which a response belongs. @internal */
export interface AnsweredRequest {
  readonly resolved: ResolvedRequest;
  readonly binding: StreamBinding;
  readonly guard: ContentGuard | undefined;
  readonly placement: Placement;
}

/**
 * Receives the response of the latest attempt of a request and passes it to the relay. The first event of a
 * stream is held until its caller can resume it.
 * @internal
 */
export class ResponseReceiver implements Disposable {
  readonly #parts: ResponseReceiverParts;

  readonly #memory: ResponseMemory;

  #started: StartedAttempt | undefined;

  #answered: AnsweredRequest | undefined;

  /** Learns from the times of the latest attempt's events. */
  #observer: EngineObserver | undefined;

  #run: StreamRun | undefined;

  /** Whether the latest attempt has brought an event. */
  #hasProgress = false;

  /** Whether the first event is held. */
  #isHolding = false;

  /** Handles the end of the attempt, which came while the first event was held. */
  #heldEnd: (() => void) | undefined;

  constructor(parts: ResponseReceiverParts) {
    this.#parts = parts;
    this.#memory = new ResponseMemory(parts.context, parts.relay);
  }

  /** The latest attempt. */
  get attempt(): Attempt | undefined {
    return this.#started?.attempt;
  }

  get #detector(): StallDetector | undefined {
    return this.#started?.detector;
  }

  /** Follows another attempt, whose response continues that of the one before. */
  follow(started: StartedAttempt, answered: AnsweredRequest): void {
    this.#started = started;
    this.#answered = answered;
    this.#observer = this.#createObserver(started.attempt, answered);
    this.#hasProgress = false;
    this.#run = this.#parts.context.streamEngines.follow(answered.resolved, started.attempt);
  }

  onHead(received: ResponseHead): void {
    const { relay, context } = this.#parts;
    const { resolved, binding } = this.#answered as AnsweredRequest;
    const { route } = resolved;
    // On other routes a body is forwarded as it is, whatever its type.
    const head = { ...received, isEventStream: received.isEventStream && route.kind === 'stream' };
    const problem = findStreamProblem(head, route, relay.isHeadSent);
    if (problem !== undefined) {
      this.attempt?.abort(problem);
      return;
    }
    if (!head.isEventStream) this[Symbol.dispose]();
    relay.setHead(head, context.isStopping(), resolved.metadata.resumeAfter);
    if (!head.isEventStream) this.#responseBegan();
    else if (!binding.isBound) relay.hold();
  }

  /** Passes a part of the body on. Returns false if the response has to pause. */
  onData(chunk: Buffer): boolean {
    const isWritable = this.#pass(chunk);
    this.#memory.update();
    const hasSpace = this.#isHolding || this.#memory.makeSpace();
    if (!this.#isHolding) this.#awaitTurn(isWritable, hasSpace);
    return isWritable && hasSpace;
  }

  /** Reads on, as the caller has read all that was sent. */
  resume(): void {
    this.#memory.drained();
    this.attempt?.resume();
  }

  /** Reads on when the caller has read, or when the budget has space for what it can't read yet. */
  #awaitTurn(isWritable: boolean, hasSpace: boolean): void {
    if (isWritable && hasSpace) return;
    if (this.#parts.relay.isHeadSent) this.#awaitCaller();
    else this.#memory.awaitSpace(this.#parts.boundary.wrap(() => this.attempt?.resume()));
  }

  /** Reads on at intervals while the caller reads slowly. */
  #awaitCaller(): void {
    this.#memory.paused(this.#parts.boundary.wrap(() => this.attempt?.resume()));
  }

  #pass(chunk: Buffer): boolean {
    const { relay } = this.#parts;
    if (this.#isReplaced) {
      this.attempt?.abort('the endpoint is listed with another software version');
      return true;
    }
    const { hasEvents: hadEvents, forwardedBytes } = relay;
    let isWritable = relay.push(chunk);
    // Bytes of an incomplete event are no progress.
    const hasProgress = relay.forwardedBytes > forwardedBytes;
    if (hasProgress) {
      this.#hasProgress = true;
      this.#detector?.eventReceived();
      if (relay.isEventStream) this.#observer?.eventReceived();
      this.#run?.eventReceived();
    }
    if (relay.hasEvents && !hadEvents) isWritable = this.#streamBegan();
    if (hasProgress && !this.#isHolding) this.#forwarded();
    // The events before it are sound and were forwarded.
    if (relay.problem !== undefined) this.attempt?.abort(relay.problem);
    if (!isWritable) this.#observer?.paused();
    if (!isWritable) this.#run?.paused();
    return isWritable;
  }

  /** Handles the end of the attempt, once nothing of its response is held. */
  end(handle: () => void): void {
    if (this.#isHolding) this.#heldEnd = handle;
    else handle();
  }

  /** Stops to watch the attempt. */
  [Symbol.dispose](): void {
    this.#detector?.[Symbol.dispose]();
    this.#run?.[Symbol.dispose]();
    // What was sent last may still be unread.
    this.#memory.update();
  }

  /** A stream that is resumed prefills a part of its response, too, so that its times say little. */
  #createObserver(
    attempt: Attempt,
    { resolved, placement }: AnsweredRequest,
  ): EngineObserver | undefined {
    const { context, relay } = this.#parts;
    const isResumed = relay.hasEvents || resolved.metadata.resumeAfter !== undefined;
    if (isResumed || placement.queuedTokens === 0) return undefined;
    return new EngineObserver(context, attempt, placement);
  }

  /** Whether another version than that of a bound stream may answer the attempt, whose first event is still to come. */
  get #isReplaced(): boolean {
    const { attempt } = this;
    const { binding } = this.#answered as AnsweredRequest;
    if (this.#hasProgress || !attempt || !this.#parts.relay.isEventStream) return false;
    return binding.isBound && binding.isReplaced(attempt);
  }

  /** Takes note of the first event. Returns false if the response has to pause. */
  #streamBegan(): boolean {
    const { relay, boundary, report, context } = this.#parts;
    const { attempt } = this;
    const { resolved, binding } = this.#answered as AnsweredRequest;
    this.#responseBegan();
    if (!attempt) return relay.release();
    attempt.prefillFinished();
    attempt.endpoint.executionStarted(resolved.rank, attempt.startedAt);
    const recorded = binding.begin(attempt);
    if (!recorded) return relay.release();
    this.#isHolding = true;
    const startedAt = context.timer.now();
    recorded
      .then((outcome) => report.originSettled(outcome, startedAt))
      .catch((error: unknown) =>
        boundary.run(() => {
          throw error;
        }),
      )
      .then(boundary.wrap(() => this.#release(attempt)));
    return false;
  }

  #release(attempt: Attempt): void {
    const { relay, lifecycle } = this.#parts;
    const handleEnd = this.#heldEnd;
    this.#isHolding = false;
    this.#heldEnd = undefined;
    if (lifecycle.isFinal) {
      if (handleEnd) attempt.endpoint.abandoned();
      return;
    }
    const isWritable = relay.release();
    this.#forwarded();
    if (handleEnd) handleEnd();
    else if (isWritable) attempt.resume();
    else this.#awaitCaller();
  }

  #forwarded(): void {
    const { relay, report, context, lifecycle } = this.#parts;
    report.timing.mark(context.timer.now());
    if (relay.isHeadSent && lifecycle.can('answer')) lifecycle.send('answer');
  }

  #countServed(resolved: ResolvedRequest, placement: Placement): void {
    const { context, report } = this.#parts;
    const isInTime = context.timer.now() - report.arrivedAt <= resolved.route.objectiveMs;
    context.admission?.served(countedRequest(resolved, placement), isInTime);
  }

  #responseBegan(): void {
    const { resolved, guard, placement } = this.#answered as AnsweredRequest;
    this.#parts.context.countStartedRequest(resolved.workspace?.name);
    guard?.answered();
    const { attempt } = this;
    if (!attempt || this.#parts.relay.isFailure) return;
    const tookMs = this.#parts.context.timer.now() - attempt.startedAt;
    attempt.endpoint.responded(tookMs <= resolved.route.objectiveMs);
    if (placement.tokens > 0) this.#countServed(resolved, placement);
  }
}
