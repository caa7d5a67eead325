import { connect, type Socket } from 'node:net';

/** Time after which a client whose connection makes no progress stops to send, in milliseconds. */
const SEND_TIMEOUT_MS = 3000;

/** A request that is sent up to its `pieces`, on a connection that stays open. @public */
export interface CrowdRequest {
  readonly host: string;
  readonly port: number;
  /** Bytes that each client sends first, or what a client sends by its number from 0. */
  readonly head: string | ((client: number) => string);
  /** Bytes that follow the head, as they are sent, or those of each piece from 0. */
  readonly piece: Buffer | ((client: number, at: number) => Buffer);
  readonly pieces: number;
  /** Whether the client reads what it is sent; true by default. */
  readonly isReader?: boolean;
}

/** Returns the head of a request with a body, up to and including the empty line. @public */
export function headOf(start: string, headers: Readonly<Record<string, string>>): string {
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
  return `${start}\r\n${lines.join('')}\r\n`;
}

/** Returns `count` chunks of `bytes` bytes each, as they are sent. @public */
export function chunksOf(bytes: number, count: number): Buffer {
  const chunk = `${bytes.toString(16)}\r\n${'x'.repeat(bytes)}\r\n`;
  return Buffer.from(chunk.repeat(count));
}

/** Clients that send parts of requests and keep their connections open. @public */
export class Crowd implements Disposable {
  readonly #sockets: Socket[] = [];

  /** Number of connections that are open. */
  get openConnections(): number {
    return this.#sockets.filter(({ readyState }) => readyState === 'open').length;
  }

  /** Starts `count` clients and resolves once each has sent its part or has lost its connection. */
  async send(count: number, request: CrowdRequest): Promise<void> {
    await Promise.all(Array.from({ length: count }, (_, client) => this.#sendOne(client, request)));
  }

  [Symbol.dispose](): void {
    for (const socket of this.#sockets) socket.destroy();
  }

  #sendOne(client: number, request: CrowdRequest): Promise<void> {
    const { host, port, head, piece, pieces, isReader = true } = request;
    const socket = connect(port, host);
    this.#sockets.push(socket);
    return new Promise((resolve) => {
      let at = 0;
      const sendMore = (): void => {
        while (at < pieces && !socket.destroyed) {
          const bytes = typeof piece === 'function' ? piece(client, at) : piece;
          at += 1;
          if (!socket.write(bytes)) {
            socket.once('drain', sendMore);
            return;
          }
        }
        resolve();
      };
      // A connection that is refused or reset is an allowed end.
      socket.on('error', () => resolve());
      socket.on('close', () => resolve());
      if (isReader) socket.resume();
      else socket.pause();
      socket.on('connect', () => {
        socket.write(typeof head === 'function' ? head(client) : head);
        sendMore();
      });
      // A connection that is never accepted sends nothing.
      socket.setTimeout(SEND_TIMEOUT_MS, () => resolve());
    });
  }
}
