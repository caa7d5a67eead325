import type { Dispatch, EndpointAction, OrderId, Work } from '@berylwood/schema';

/** Receives a response while it arrives from an endpoint. @public */
export interface ResponseSink {
  head(status: number, headers: Record<string, string>): void;
  /** Returns a promise to wait for before more data is sent, or undefined if none is needed. */
  data(bytes: Uint8Array, tokens: number): Promise<void> | undefined;
}

/** Load as reported by the endpoint. @public */
export interface EndpointLoad {
  readonly running: number;
  readonly waiting: number;
  readonly prefillTokens: number;
  readonly generatedTokens: number;
}

/** Reply of the endpoint to an order. @public */
export interface OrderOutcome {
  readonly accepted: boolean;
  readonly message: string;
}

/** Kind of failure of a run. @public */
export type EndpointFault =
  /** No connection was made, so nothing has run. */
  | 'unreached'
  /** The endpoint crashed or restarted while it ran the request. */
  | 'crashed'
  /** Any other failure. */
  | 'failed';

/** Thrown by a run that did not produce a complete response. @public */
export class EndpointError extends Error {
  readonly fault: EndpointFault;

  /** Work done before the failure. */
  readonly work: Work;

  constructor(fault: EndpointFault, work: Work, cause: unknown) {
    super(`the endpoint ${fault}: ${String(cause)}`, { cause });
    this.fault = fault;
    this.work = work;
  }
}

/** The endpoint on the same instance as the sidecar. @public */
export abstract class Endpoint {
  /**
   * Runs an attempt and resolves to its work once the response is complete.
   * @throws EndpointError when the endpoint fails, or the signal aborts.
   */
  abstract run(dispatch: Dispatch, sink: ResponseSink, signal: AbortSignal): Promise<Work>;

  /** Cancels an attempt whose response is no longer needed. */
  abstract cancel(dispatch: Dispatch): Promise<void>;

  /** Forwards an order of the control group to the endpoint. */
  abstract order(order: OrderId, fence: number, action: EndpointAction): Promise<OrderOutcome>;

  /** Requests the load of the endpoint; undefined if the endpoint does not report any. */
  abstract load(): Promise<EndpointLoad | undefined>;
}
