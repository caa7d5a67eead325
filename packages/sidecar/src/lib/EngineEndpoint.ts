import { Pool } from 'undici';
import type { Dispatch, EndpointAction, OrderId, Work } from '@berylwood/schema';
import { createConnector } from './createConnector';
import { Endpoint, type ResponseSink, type EndpointLoad, type OrderOutcome } from './Endpoint';
import { EngineRun, type Engine } from './EngineRun';

/** Connections to the engine in addition to its slots, for load and cancel requests. */
const SPARE_CONNECTIONS = 4;

/** Timeout of load and cancel requests. */
const CALL_TIMEOUT_MS = 1000;

/** Timeout of orders. */
const ORDER_TIMEOUT_MS = 5000;

/** Model engine with an OpenAI-compatible HTTP API. @public */
export class EngineEndpoint extends Endpoint implements Disposable, Engine {
  readonly pool: Pool;

  readonly address: string;

  #restarts = 0;

  #generatedTokens = 0;

  constructor(address: string, slots: number) {
    super();
    this.address = address;
    const connect = createConnector();
    const connections = slots + SPARE_CONNECTIONS;
    this.pool = new Pool(`http://${address}`, { connections, connect });
  }

  get restarts(): number {
    return this.#restarts;
  }

  override run(dispatch: Dispatch, sink: ResponseSink, signal: AbortSignal): Promise<Work> {
    return new EngineRun(this, dispatch, sink, signal).run();
  }

  override async cancel(dispatch: Dispatch): Promise<void> {
    const path = `/v1/streams/${dispatch.attempt}`;
    const answer = await this.pool.request({
      method: 'DELETE',
      path,
      headersTimeout: CALL_TIMEOUT_MS,
    });
    await answer.body.dump();
  }

  override async order(
    order: OrderId,
    fence: number,
    action: EndpointAction,
  ): Promise<OrderOutcome> {
    const answer = await this.pool.request({
      method: 'POST',
      path: '/orders',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ order, fence, ...action }),
      headersTimeout: ORDER_TIMEOUT_MS,
    });
    return { accepted: answer.statusCode < 300, message: await answer.body.text() };
  }

  override async load(): Promise<EndpointLoad | undefined> {
    const answer = await this.pool.request({
      method: 'GET',
      path: '/load',
      headersTimeout: CALL_TIMEOUT_MS,
    });
    const report = (await answer.body.json()) as Record<string, number>;
    const generatedTokens = report.generated_tokens ?? 0;
    // The counter restarts from zero with the engine, so a lower value shows a restart.
    if (generatedTokens < this.#generatedTokens) this.#restarts += 1;
    this.#generatedTokens = generatedTokens;
    return {
      running: report.running ?? 0,
      waiting: report.waiting ?? 0,
      prefillTokens: report.prefill_tokens ?? 0,
      generatedTokens,
    };
  }

  [Symbol.dispose](): void {
    this.pool.destroy().catch(() => {});
  }
}
