import type { Dispatch, Work } from '@berylwood/schema';

/** Takes an answer as it comes from an endpoint. @public */
export interface AnswerSink {
  head(status: number, headers: Record<string, string>): void;
  /** Resolves when more may be sent. */
  data(bytes: Uint8Array, tokens: number): Promise<void> | void;
}

/** What the endpoint itself reports about its load. @public */
export interface EndpointLoad {
  readonly running: number;
  readonly waiting: number;
  readonly prefillTokens: number;
  readonly generatedTokens: number;
}

/** The endpoint beside the sidecar. @public */
export abstract class Endpoint {
  /**
   * Runs an attempt and resolves to its work once the answer is whole.
   * @throws when the endpoint fails, or the signal aborts.
   */
  abstract run(dispatch: Dispatch, sink: AnswerSink, signal: AbortSignal): Promise<Work>;

  /** Asks the endpoint for its load; undefined when it does not report any. */
  abstract load(): Promise<EndpointLoad | undefined>;
}
