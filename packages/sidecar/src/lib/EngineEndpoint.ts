import { Pool } from 'undici';
import type { Dispatch, Work } from '@berylwood/schema';
import { Endpoint, type AnswerSink, type EndpointLoad } from './Endpoint';
import { keepAnswerHeaders } from './headers';
import { UsageReader } from './UsageReader';

/** Connections to the engine beyond its slots, for load reports and cancels. */
const SPARE_CONNECTIONS = 4;

/** Model engine with the OpenAI wire form. @public */
export class EngineEndpoint extends Endpoint implements Disposable {
  readonly #pool: Pool;

  constructor(address: string, slots: number) {
    super();
    this.#pool = new Pool(`http://${address}`, { connections: slots + SPARE_CONNECTIONS });
  }

  override async run(dispatch: Dispatch, sink: AnswerSink, signal: AbortSignal): Promise<Work> {
    const answer = await this.#pool.request({
      method: 'POST',
      path: dispatch.path,
      headers: {
        ...dispatch.headers,
        'x-stream-id': dispatch.attempt,
        'x-priority': String(dispatch.tier),
      },
      body: Buffer.from(dispatch.body),
      signal,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    sink.head(answer.statusCode, keepAnswerHeaders(answer.headers));
    const reader = new UsageReader(String(answer.headers['content-type'] ?? ''));
    for await (const chunk of answer.body) {
      reader.read(chunk as Buffer);
      await sink.data(chunk as Buffer, reader.tokens);
    }
    return reader.work;
  }

  override async load(): Promise<EndpointLoad | undefined> {
    const answer = await this.#pool.request({ method: 'GET', path: '/load', headersTimeout: 1000 });
    const report = (await answer.body.json()) as Record<string, number>;
    return {
      running: report.running ?? 0,
      waiting: report.waiting ?? 0,
      prefillTokens: report.prefill_tokens ?? 0,
      generatedTokens: report.generated_tokens ?? 0,
    };
  }

  [Symbol.dispose](): void {
    this.#pool.destroy().catch(() => {});
  }
}
