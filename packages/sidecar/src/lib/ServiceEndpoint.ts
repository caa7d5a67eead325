import { Pool } from 'undici';
import { noWork, type Dispatch, type Work } from '@berylwood/schema';
import { checkStatus } from './checkStatus';
import { isConnectionLost, isUnreached, probeConnection } from './connection';
import { createConnector } from './createConnector';
import {
  Endpoint,
  EndpointError,
  type ResponseSink,
  type EndpointFault,
  type OrderOutcome,
} from './Endpoint';
import { filterResponseHeaders } from './headers';

/** Plain HTTP service, which reports no load. @public */
export class ServiceEndpoint extends Endpoint implements Disposable {
  readonly #pool: Pool;

  readonly #address: string;

  constructor(address: string, slots: number) {
    super();
    this.#address = address;
    const connect = createConnector();
    this.#pool = new Pool(`http://${address}`, { connections: slots, connect });
  }

  override async run(dispatch: Dispatch, sink: ResponseSink, signal: AbortSignal): Promise<Work> {
    try {
      await this.#call(dispatch, sink, signal);
      return noWork;
    } catch (error) {
      throw new EndpointError(classifyError(error), noWork, error);
    }
  }

  override async cancel(): Promise<void> {
    // A plain service has no cancel request; aborting the connection has to suffice.
  }

  override async order(): Promise<OrderOutcome> {
    return { accepted: false, message: 'a plain service takes no orders' };
  }

  override async load(): Promise<undefined> {
    await probeConnection(this.#address);
    return undefined;
  }

  [Symbol.dispose](): void {
    this.#pool.destroy().catch(() => {});
  }

  async #call(dispatch: Dispatch, sink: ResponseSink, signal: AbortSignal): Promise<void> {
    const answer = await this.#pool.request({
      method: dispatch.method,
      path: dispatch.path,
      headers: dispatch.headers,
      body: dispatch.body.length > 0 ? Buffer.from(dispatch.body) : null,
      signal,
      // The service may close a persistent connection just as a call is written to it, and a call
      // that is not idempotent can not be retried.
      reset: !dispatch.idempotent,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    checkStatus(answer);
    sink.head(answer.statusCode, filterResponseHeaders(answer.headers));
    for await (const chunk of answer.body) await sink.data(chunk as Buffer, 0);
  }
}

/** A lost connection counts as a crash, because a service can not be queried about a call. */
function classifyError(error: unknown): EndpointFault {
  if (isUnreached(error)) return 'unreached';
  return isConnectionLost(error) ? 'crashed' : 'failed';
}
