import type { Server } from 'node:http';
import {
  listenOn,
  paceConnections,
  type PacedConnection,
  type PacedConnectionParts,
} from '@berylwood/link';
import type { UnfinishedHeads } from './UnfinishedHeads';

/** What bounds the memory and work that connections of a server cause. @internal */
export interface ListenerLimits extends PacedConnectionParts {
  /** Limits the connections that wait for a request. */
  readonly waiting: UnfinishedHeads;
}

/** Base class of HTTP servers that listen on their own address. @internal */
export abstract class HttpListener {
  protected abstract readonly server: Server;

  /** Listens on `IP:PORT` and resolves to the bound address. */
  listen(address: string): Promise<string> {
    return listenOn(this.server, address);
  }

  /** Limits what connections of the server may cost. */
  limitConnections({ waiting, ...parts }: ListenerLimits): void {
    const onConnection = (connection: PacedConnection): void => waiting.accept(connection);
    paceConnections(this.server, { ...parts, onConnection });
    waiting.watch(this.server);
  }

  /** Stops listening and closes open connections immediately. */
  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}
