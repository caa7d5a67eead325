import { createServer, type IncomingMessage, type Server } from 'node:http';
import { createServer as createSecureServer } from 'node:https';
import type { Socket } from 'node:net';
import { WebSocketServer } from 'ws';
import { Link } from './Link';
import { MAX_FRAME_BYTES, type LinkIdentity, type LinkOptions } from './LinkOptions';
import { closeNow } from './closeNow';
import { listenOn } from './listenOn';
import { paceConnections, pacedConnectionOf, type PaceOptions } from './paceConnections';

type SocketHandler = (socket: import('ws').WebSocket, peer: string, transport: Socket) => void;

const UPGRADE_REQUIRED = 426;

/** Accepts links of several kinds on one port; the URL path identifies the kind. @public */
export class LinkServer {
  readonly #server: Server;

  readonly #sockets = new WebSocketServer({ noServer: true, maxPayload: MAX_FRAME_BYTES });

  readonly #handlers = new Map<string, SocketHandler>();

  readonly #isSecure: boolean;

  constructor(identity?: LinkIdentity) {
    this.#isSecure = identity !== undefined;
    this.#server = identity
      ? createSecureServer({
          cert: identity.certificate,
          key: identity.key,
          ca: identity.authority,
          requestCert: true,
          rejectUnauthorized: true,
        })
      : createServer();
    this.#server.on('request', (_, response) => {
      response.writeHead(UPGRADE_REQUIRED, { Connection: 'close' }).end();
    });
    this.#server.on('upgrade', (request: IncomingMessage, socket: Socket, head: Buffer) => {
      this.#upgrade(request, socket, head);
    });
  }

  /** Accepts links on a path such as `/entry`; call before `listen`. */
  accept<Out, In>(
    path: string,
    options: LinkOptions<In>,
    onLink: (link: Link<Out, In>) => void,
  ): void {
    this.#handlers.set(path, (socket, peer, transport) =>
      onLink(new Link<Out, In>(socket, peer, options, transport)),
    );
  }

  /** Limits what connections may cost until they are links; call before `listen`. */
  limitConnections(options: Omit<PaceOptions, 'isSecure'>, watch: (server: Server) => void): void {
    paceConnections(this.#server, { ...options, isSecure: this.#isSecure });
    watch(this.#server);
  }

  /** Listens on `IP:PORT` and resolves to the bound address. */
  listen(address: string): Promise<string> {
    return listenOn(this.#server, address);
  }

  /** Stops accepting and drops open links. */
  async close(): Promise<void> {
    for (const socket of this.#sockets.clients) socket.terminate();
    await closeNow(this.#server);
  }

  #upgrade(request: IncomingMessage, stream: Socket, head: Buffer): void {
    const socket = pacedConnectionOf(request)?.release() ?? stream;
    const handler = this.#handlers.get(request.url ?? '');
    if (!handler) {
      socket.destroy();
      return;
    }
    socket.setNoDelay(true);
    const peer = `${socket.remoteAddress}:${socket.remotePort}`;
    this.#sockets.handleUpgrade(request, socket, head, (webSocket) =>
      handler(webSocket, peer, socket),
    );
  }
}
