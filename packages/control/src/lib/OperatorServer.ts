import { createServer, type Server } from 'node:http';
import { closeNow, listenOn } from '@berylwood/link';
import { createHTTPHandler } from '@trpc/server/adapters/standalone';
import { operatorRouter } from './operatorRouter';
import type { OperatorService } from './OperatorService';

/** Serves operators' commands by tRPC over HTTP. @public */
export class OperatorServer {
  readonly #server: Server;

  constructor(service: OperatorService) {
    const createContext = () => ({ service });
    this.#server = createServer(createHTTPHandler({ router: operatorRouter, createContext }));
  }

  async listen(address: string): Promise<void> {
    await listenOn(this.#server, address);
  }

  async close(): Promise<void> {
    await closeNow(this.#server);
  }
}
