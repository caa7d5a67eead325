import { Pool } from 'undici';
import { noWork, type Dispatch, type Work } from '@berylwood/schema';
import { Endpoint, type AnswerSink } from './Endpoint';
import { keepAnswerHeaders } from './headers';

/** Plain HTTP service; it reports no load. @public */
export class ServiceEndpoint extends Endpoint implements Disposable {
  readonly #pool: Pool;

  constructor(address: string, slots: number) {
    super();
    this.#pool = new Pool(`http://${address}`, { connections: slots });
  }

  override async run(dispatch: Dispatch, sink: AnswerSink, signal: AbortSignal): Promise<Work> {
    const answer = await this.#pool.request({
      method: dispatch.method,
      path: dispatch.path,
      headers: dispatch.headers,
      body: dispatch.body.length > 0 ? Buffer.from(dispatch.body) : null,
      signal,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    sink.head(answer.statusCode, keepAnswerHeaders(answer.headers));
    for await (const chunk of answer.body) await sink.data(chunk as Buffer, 0);
    return noWork;
  }

  override async load(): Promise<undefined> {
    return undefined;
  }

  [Symbol.dispose](): void {
    this.#pool.destroy().catch(() => {});
  }
}
