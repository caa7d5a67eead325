import type { IncomingMessage, ServerResponse } from 'node:http';
import { DisposableStore, Failure } from '@berylwood/base';
import { readBody, type ReadBody } from '@berylwood/link';
import { gatewayCodes } from './codes';
import type { FaultBoundary } from './FaultBoundary';
import type { GatewayContext } from './GatewayContext';
import { resolveRequest, type ResolvedRequest } from './resolveRequest';

/** Receives a request as it arrives. @internal */
export interface ArrivalListener {
  /** Called once the configuration assigns a route and a pool to the request. */
  onResolved(resolved: ResolvedRequest): void;
  /** Called once the request is complete. */
  onBody(body: Buffer): void;
  /** Called if the request is rejected. */
  onRejected(failure: Failure): void;
  /** Called if the caller's deadline passes before the instance has started. */
  onTimeout(): void;
  /** Called if the caller closes its connection before the end of the request. */
  onGone(): void;
}

/**
 * The arrival of one request: holds it while the instance is starting, resolves it and reads its body.
 * Disposing of it releases a held request.
 * @internal
 */
export class Arrival implements Disposable {
  readonly #context: GatewayContext;

  readonly #request: IncomingMessage;

  readonly #response: ServerResponse;

  readonly #boundary: FaultBoundary;

  readonly #listener: ArrivalListener;

  readonly #store = new DisposableStore();

  constructor(
    context: GatewayContext,
    response: ServerResponse,
    boundary: FaultBoundary,
    listener: ArrivalListener,
  ) {
    this.#context = context;
    this.#request = response.req;
    this.#response = response;
    this.#boundary = boundary;
    this.#listener = listener;
  }

  start(): void {
    const { startGate, wire } = this.#context;
    if (!startGate.isHolding) {
      this.#resolve();
      return;
    }
    const { socket } = this.#request;
    // What arrives meanwhile is not kept.
    socket.pause();
    const readOn = (next: () => void) =>
      this.#boundary.wrap(() => {
        socket.resume();
        next();
      });
    const { deadlineMs } = wire.readRequest(this.#request.rawHeaders);
    const onTimeout = readOn(() => this.#listener.onTimeout());
    const onRelease = readOn(() => this.#resolve());
    this.#store.add(startGate.wait({ onRelease, deadlineMs, onTimeout }));
  }

  [Symbol.dispose](): void {
    this.#store[Symbol.dispose]();
  }

  #resolve(): void {
    const resolved = resolveRequest(this.#context, this.#request);
    if (resolved.isErr()) {
      this.#listener.onRejected(resolved.error);
      return;
    }
    if (!this.#context.bodies.admitsRequest()) {
      const failure = new Failure(gatewayCodes.memorySpent, 'responses fill the body budget');
      this.#listener.onRejected(failure);
      return;
    }
    const { table, target } = resolved.value;
    this.#listener.onResolved(resolved.value);
    this.#context.budgets.recordRequest(target);
    const onBody = this.#boundary.wrap((body: ReadBody) => this.#onBody(body));
    const { maxBodyBytes: maxBytes } = table.configuration.limits;
    const limits = { maxBytes, bodies: this.#context.bodies };
    this.#store.add(readBody(this.#request, this.#response, limits, onBody));
  }

  #onBody(body: ReadBody): void {
    if (body === 'gone') this.#listener.onGone();
    else if (body === 'tooLarge') {
      const failure = new Failure(gatewayCodes.bodyTooLarge, 'the body is too large');
      this.#listener.onRejected(failure);
    } else if (body === 'overBudget') {
      const failure = new Failure(gatewayCodes.memorySpent, 'the body budget is spent');
      this.#listener.onRejected(failure);
    } else this.#listener.onBody(body);
  }
}
