import { createServer, type Server } from 'node:http';
import { HttpListener } from './HttpListener';

/** Health check for the load balancer: 200 if the instance takes new connections, else 503. @internal */
export class ReadinessServer extends HttpListener {
  protected readonly server: Server;

  constructor(path: string, isReady: () => boolean) {
    super();
    this.server = createServer((request, response) => {
      if (request.url !== path) response.writeHead(404).end();
      else response.writeHead(isReady() ? 200 : 503).end();
    });
  }
}
