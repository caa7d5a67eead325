import { createHash } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { StandIn, sendJson } from './StandIn';

/** Options of a stand-in of a plain service. @public */
export interface ServiceOptions {
  readonly listen: string;
  readonly name: string;
  /** Time that a call takes, in milliseconds. */
  readonly delayMs?: number;
}

const DEFAULT_DELAY_MS = 5;

/** Stand-in of a plain service: it counts how often each call body ran. @public */
export class ServiceServer extends StandIn {
  readonly name: string;

  readonly #delayMs: number;

  readonly #runs = new Map<string, number>();

  constructor(options: ServiceOptions) {
    super(options.listen);
    this.name = options.name;
    this.#delayMs = options.delayMs ?? DEFAULT_DELAY_MS;
  }

  protected override async serve(
    request: IncomingMessage,
    response: ServerResponse,
    url: URL,
    body: Buffer,
  ): Promise<void> {
    const digest = createHash('sha256').update(body).digest('hex').slice(0, 16);
    const call = `${request.method} ${url.pathname} ${digest}`;
    const runs = (this.#runs.get(call) ?? 0) + 1;
    this.#runs.set(call, runs);
    const { headers } = request;
    this.history.add('call', { call, path: url.pathname + url.search, headers, runs });
    await new Promise((resolve) => {
      setTimeout(resolve, this.#delayMs);
    });
    sendJson(response, 200, { service: this.name, call, runs, echo: body.toString() });
  }
}
