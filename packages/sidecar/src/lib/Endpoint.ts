import type { Dispatch, EndpointAction, OrderId, Work } from '@berylwood/schema';

/** Takes an answer as it comes from an endpoint. @public */
export interface ResponseSink {
  head(status: number, headers: Record<string, string>): void;
  /** Resolves when more may be sent; undefined when it may be at once. */
  data(bytes: Uint8Array, tokens: number): Promise<void> | undefined;
}

/** What the endpoint itself reports about its load. @public */
export interface EndpointLoad {
  readonly running: number;
  readonly waiting: number;
  readonly prefillTokens: number;
  readonly generatedTokens: number;
}

/** What the endpoint said to an order. @public */
export interface OrderOutcome {
  readonly accepted: boolean;
  readonly message: string;
}

/** How a run has failed. @public */
export type EndpointFault =
  /** No connection was made, so nothing has run. */
  | 'unreached'
  /** The endpoint crashed, or restarted, while it held the request. */
  | 'crashed'
  /** Anything else. */
  | 'failed';

/** A run that did not give a whole answer. @public */
export class EndpointError extends Error {
  readonly fault: EndpointFault;

  /** Work done until then. */
  readonly work: Work;

  constructor(fault: EndpointFault, work: Work, cause: unknown) {
    super(`the endpoint ${fault}: ${String(cause)}`, { cause });
    this.fault = fault;
    this.work = work;
  }
}

/** The endpoint beside the sidecar. @public */
export abstract class Endpoint {
  /**
   * Runs an attempt and resolves to its work once the answer is whole.
   * @throws EndpointError when the endpoint fails, or the signal aborts.
   */
  abstract run(dispatch: Dispatch, sink: ResponseSink, signal: AbortSignal): Promise<Work>;

  /** Ends work that nobody waits for any more. */
  abstract cancel(dispatch: Dispatch): Promise<void>;

  /** Gives the endpoint an order of the control group. */
  abstract order(order: OrderId, fence: number, action: EndpointAction): Promise<OrderOutcome>;

  /** Asks the endpoint for its load; undefined when it does not report any. */
  abstract load(): Promise<EndpointLoad | undefined>;
}
