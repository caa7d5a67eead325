import { createServer, type Server } from 'node:http';
import { listenOn } from '@berylwood/link';

/** Tells the balancer whether the instance takes new connections. @internal */
export class ReadinessServer {
  readonly #server: Server;

  constructor(path: string, isReady: () => boolean) {
    this.#server = createServer((request, response) => {
      if (request.url !== path) response.writeHead(404).end();
      else response.writeHead(isReady() ? 200 : 503).end();
    });
  }

  listen(address: string): Promise<string> {
    return listenOn(this.#server, address);
  }

  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}
