import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { PacedConnection, type PacedConnectionParts } from './PacedConnection';

/** @public */
export interface PaceOptions extends PacedConnectionParts {
  /** Whether the connections are encrypted. */
  readonly isSecure?: boolean;
  /** Called with each new connection. */
  readonly onConnection?: (connection: PacedConnection) => void;
}

/**
 * Lets an HTTP server read its connections in turns, and one request of a connection at a time. It is called before
 * the server gets other listeners of its connections.
 * @public
 */
export function paceConnections(
  server: Server,
  { isSecure = false, onConnection, ...parts }: PaceOptions,
): void {
  const event = isSecure ? 'secureConnection' : 'connection';
  const listeners = server.listeners(event) as ((socket: unknown) => void)[];
  server.removeAllListeners(event);
  server.on(event, (transport: Socket) => {
    const connection = new PacedConnection(transport, parts);
    onConnection?.(connection);
    for (const listener of listeners) listener.call(server, connection);
  });
  server.prependListener('request', (request: IncomingMessage, response: ServerResponse) => {
    pacedConnectionOf(request)?.begin(request, response);
  });
}

/** The paced connection on which a request has arrived; undefined on others. @public */
export function pacedConnectionOf(request: IncomingMessage): PacedConnection | undefined {
  const stream: unknown = request.socket;
  return stream instanceof PacedConnection ? stream : undefined;
}
