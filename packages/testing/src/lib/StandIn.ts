import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { Task } from '@berylwood/base';
import { closeNow, listenOn } from '@berylwood/link';
import { History } from './History';

/** Thrown by a handler to answer with an HTTP error. @internal */
export class HttpFault extends Error {
  readonly status: number;

  constructor(status: number, message: string) {
    super(message);
    this.status = status;
  }
}

/** An HTTP stand-in with a history, served at `GET /history`. @public */
export abstract class StandIn extends Task {
  readonly history: History;

  readonly #server: Server;

  readonly #listen: string;

  /** @param historyFile - file that the history is appended to, if any. */
  constructor(listen: string, historyFile?: string) {
    super();
    this.#listen = listen;
    this.history = this.store.add(new History(historyFile));
    this.#server = createServer((request, response) => {
      this.#answer(request, response).catch((error: unknown) => {
        const status = error instanceof HttpFault ? error.status : 500;
        if (!response.headersSent) sendJson(response, status, { error: String(error) });
        else response.destroy();
      });
    });
  }

  /** Address in use, once started. */
  get address(): string {
    const { address, port } = this.#server.address() as AddressInfo;
    return `${address}:${port}`;
  }

  override async start(): Promise<void> {
    await listenOn(this.#server, this.#listen);
  }

  override async stop(): Promise<void> {
    await closeNow(this.#server);
    await super.stop();
  }

  protected override handle(): void {
    // Stand-ins get no messages.
  }

  protected abstract serve(
    request: IncomingMessage,
    response: ServerResponse,
    url: URL,
    body: Buffer,
    /** Wall time at which the head had arrived, and the client was told to send the body. */
    headAt: number,
  ): Promise<void> | void;

  async #answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://stand-in');
    const headAt = Date.now();
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk as Buffer);
    if (url.pathname === '/history') sendJson(response, 200, this.history.records);
    else await this.serve(request, response, url, Buffer.concat(chunks), headAt);
  }
}

/** Parses a JSON body. @throws HttpFault when it is not JSON. @internal */
export function parseJson<T>(body: Buffer): T {
  try {
    return JSON.parse(body.toString('utf8')) as T;
  } catch {
    throw new HttpFault(400, 'the body is not JSON');
  }
}

/** Answers with a JSON body. @internal */
export function sendJson(response: ServerResponse, status: number, value: unknown): void {
  const body = JSON.stringify(value);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
  });
  response.end(body);
}
