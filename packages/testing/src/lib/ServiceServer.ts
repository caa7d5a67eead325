import type { IncomingMessage, ServerResponse } from 'node:http';
import { contentDigest } from './contentDigest';
import { StandIn, sendJson } from './StandIn';

/** Options of a stand-in of a plain service. @public */
export interface ServiceOptions {
  readonly listen: string;
  readonly name: string;
  /** Time that a call takes, in milliseconds. */
  readonly delayMs?: number;
  /** File that the history is appended to. */
  readonly history?: string;
}

const DEFAULT_DELAY_MS = 5;
const LOG_BODY_BYTES = 4096;

/** Headers that identify a call beside its body. */
const IDENTITY_HEADERS = ['idempotency-key', 'x-attempt-id'] as const;

/** Stand-in of a plain service: it counts how often each call ran, by body and by identity. @public */
export class ServiceServer extends StandIn {
  readonly name: string;

  readonly #delayMs: number;

  #running = 0;

  readonly #runs = new Map<string, number>();

  constructor(options: ServiceOptions) {
    super(options.listen, options.history);
    this.name = options.name;
    this.#delayMs = options.delayMs ?? DEFAULT_DELAY_MS;
  }

  protected override async serve(
    request: IncomingMessage,
    response: ServerResponse,
    url: URL,
    body: Buffer,
  ): Promise<void> {
    if (url.pathname === '/load') return sendJson(response, 200, { running: this.#running });
    const digest = contentDigest(body);
    const call = `${request.method} ${url.pathname} ${digest}`;
    const { headers } = request;
    const identities = IDENTITY_HEADERS.map((name) => headers[name]).filter(Boolean);
    const runs = this.#count(call);
    const identityRuns = Math.max(0, ...identities.map((value) => this.#count(String(value))));
    const path = url.pathname + url.search;
    const text = body.toString('utf8', 0, LOG_BODY_BYTES);
    this.history.add('call', { call, digest, path, headers, body: text, runs, identityRuns });
    this.#running += 1;
    await new Promise((resolve) => {
      setTimeout(resolve, this.#delayMs);
    });
    this.#running -= 1;
    return sendJson(response, 200, { service: this.name, call, runs, echo: body.toString() });
  }

  #count(identity: string): number {
    const runs = (this.#runs.get(identity) ?? 0) + 1;
    this.#runs.set(identity, runs);
    return runs;
  }
}
