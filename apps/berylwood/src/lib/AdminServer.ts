import { createServer, type Server, type ServerResponse } from 'node:http';
import { Task, type Journal, type Metrics } from '@berylwood/base';
import { closeNow, listenOn } from '@berylwood/link';

/** HTTP server for the health check, metrics and latest events of a process. @internal */
export class AdminServer extends Task {
  readonly name = 'admin';

  readonly #listen: string;

  readonly #server: Server;

  constructor(listen: string, process: { journal: Journal; metrics: Metrics }) {
    super();
    this.#listen = listen;
    this.#server = createServer((request, response) => {
      if (request.url === '/healthz') send(response, 'text/plain', 'ok\n');
      else if (request.url === '/timeline') {
        send(response, 'application/json', JSON.stringify(process.journal.recent()));
      } else if (request.url === '/metrics') {
        process.metrics.expose().then(
          (text) => send(response, 'text/plain', text),
          () => response.destroy(),
        );
      } else response.writeHead(404).end();
    });
  }

  override async start(): Promise<void> {
    await listenOn(this.#server, this.#listen);
  }

  override async stop(): Promise<void> {
    await closeNow(this.#server);
    await super.stop();
  }

  protected override handle(): void {
    // The server receives HTTP requests and no messages.
  }
}

function send(response: ServerResponse, type: string, body: string): void {
  response.writeHead(200, { 'content-type': type });
  response.end(body);
}
