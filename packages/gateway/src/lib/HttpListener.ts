import type { Server } from 'node:http';
import { listenOn } from '@berylwood/link';

/** An HTTP server on an address of its own. @internal */
export abstract class HttpListener {
  protected abstract readonly server: Server;

  /** Listens on `IP:PORT` and resolves to the address in use. */
  listen(address: string): Promise<string> {
    return listenOn(this.server, address);
  }

  /** Stops listening and drops open connections, without waiting for them. */
  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}
