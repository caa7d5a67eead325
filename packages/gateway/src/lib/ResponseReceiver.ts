import type { Lifecycle } from '@berylwood/base';
import type { Attempt } from './Attempt';
import type { ContentGuard } from './ContentGuard';
import type { ExchangeEvent } from './exchangeMachine';
import { findStreamProblem } from './findStreamProblem';
import type { GatewayContext } from './GatewayContext';
import type { RequestReport } from './RequestReport';
import type { ResolvedRequest } from './resolveRequest';
import type { ResponseHead } from './readResponseHead';
import type { ResponseRelay } from './ResponseRelay';
import type { StallDetector } from './StallDetector';
import type { StartedAttempt } from './startAttempt';

/** The parts of an exchange that take note of its response. @internal */
export interface ResponseReceiverParts {
  readonly context: GatewayContext;
  readonly relay: ResponseRelay;
  readonly report: RequestReport;
  readonly lifecycle: Lifecycle<ExchangeEvent, undefined>;
}

/** Receives the response of the latest attempt of a request and passes it to the relay. @internal */
export class ResponseReceiver implements Disposable {
  readonly #parts: ResponseReceiverParts;

  #started: StartedAttempt | undefined;

  #guard: ContentGuard | undefined;

  #resolved: ResolvedRequest | undefined;

  constructor(parts: ResponseReceiverParts) {
    this.#parts = parts;
  }

  /** The latest attempt. */
  get attempt(): Attempt | undefined {
    return this.#started?.attempt;
  }

  get #detector(): StallDetector | undefined {
    return this.#started?.detector;
  }

  /** Follows another attempt, whose response continues that of the one before. */
  follow(
    started: StartedAttempt,
    resolved: ResolvedRequest,
    guard: ContentGuard | undefined,
  ): void {
    this.#started = started;
    this.#resolved = resolved;
    this.#guard = guard;
  }

  onHead(received: ResponseHead): void {
    const { relay, context } = this.#parts;
    const { route, metadata } = this.#resolved as ResolvedRequest;
    // On other routes a body is forwarded as it is, whatever its type.
    const head = { ...received, isEventStream: received.isEventStream && route.kind === 'stream' };
    const problem = findStreamProblem(head, route, relay.isHeadSent);
    if (problem !== undefined) {
      this.attempt?.abort(problem);
      return;
    }
    if (!head.isEventStream) this[Symbol.dispose]();
    relay.setHead(head, context.isStopping(), metadata.resumeAfter);
    if (!head.isEventStream) this.#responseBegan();
  }

  /** Passes a part of the body on. Returns false if the caller reads too slowly. */
  onData(chunk: Buffer): boolean {
    const { relay, context, report, lifecycle } = this.#parts;
    const { hasEvents: hadEvents, forwardedBytes } = relay;
    const isWritable = relay.push(chunk);
    // Bytes of an incomplete event are no progress.
    if (relay.forwardedBytes > forwardedBytes) {
      report.timing.mark(context.timer.now());
      this.#detector?.eventReceived();
    }
    if (relay.hasEvents && !hadEvents) {
      this.#responseBegan();
      this.attempt?.prefillFinished();
      this.#executionStarted();
    }
    if (relay.isHeadSent && lifecycle.can('answer')) lifecycle.send('answer');
    // The events before it are sound and were forwarded.
    if (relay.problem !== undefined) this.attempt?.abort(relay.problem);
    return isWritable;
  }

  /** Stops to watch the attempt for a stall. */
  [Symbol.dispose](): void {
    this.#detector?.[Symbol.dispose]();
  }

  #executionStarted(): void {
    const { attempt } = this;
    if (attempt && this.#resolved) {
      attempt.endpoint.executionStarted(this.#resolved.rank, attempt.startedAt);
    }
  }

  #responseBegan(): void {
    this.#parts.context.countStartedRequest(this.#resolved?.workspace?.name);
    this.#guard?.answered();
  }
}
