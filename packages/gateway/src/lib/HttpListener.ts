import type { Server } from 'node:http';
import { listenOn } from '@berylwood/link';
import type { UnfinishedHeads } from './UnfinishedHeads';

/** Base class of HTTP servers that listen on their own address. @internal */
export abstract class HttpListener {
  protected abstract readonly server: Server;

  /** Listens on `IP:PORT` and resolves to the bound address. */
  listen(address: string): Promise<string> {
    return listenOn(this.server, address);
  }

  /** Limits the connections that wait for a request. */
  limitConnections(limit: UnfinishedHeads): void {
    limit.watch(this.server);
  }

  /** Stops listening and closes open connections immediately. */
  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}
