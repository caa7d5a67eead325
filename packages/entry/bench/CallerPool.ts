import { connect, type Socket } from 'node:net';
import { splitAddress } from '@berylwood/link';

const EVENT_MARK = Buffer.from('"delta"');

/** Totals over all callers so far. */
export interface CallerCount {
  opened: number;
  tokens: number;
  ended: number;
  failed: number;
}

/** Callers on raw sockets. They count tokens without parsing, to use little processor time. */
export class CallerPool {
  readonly count: CallerCount = { opened: 0, tokens: 0, ended: 0, failed: 0 };

  readonly #address: string;

  readonly #secret: string;

  readonly #sockets = new Set<Socket>();

  constructor(address: string, secret: string) {
    this.#address = address;
    this.#secret = secret;
  }

  get open(): number {
    return this.#sockets.size;
  }

  /** Opens one stream of the given length in tokens. */
  call(prompt: string, answerTokens: number): void {
    const { host, port } = splitAddress(this.#address);
    const socket = connect(port, host);
    this.#sockets.add(socket);
    const body = JSON.stringify({
      model: 'crew-8b',
      stream: true,
      messages: [{ role: 'user', content: prompt }],
      metadata: { answer_tokens: String(answerTokens) },
    });
    socket.write(
      `POST /v1/chat/completions HTTP/1.1\r\nhost: ${this.#address}\r\nconnection: close\r\n` +
        `authorization: Bearer ${this.#secret}\r\ncontent-type: application/json\r\n` +
        `content-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`,
    );
    this.#watch(socket);
  }

  close(): void {
    for (const socket of this.#sockets) socket.destroy();
  }

  #watch(socket: Socket): void {
    let isOpen = false;
    socket.on('data', (chunk: Buffer) => {
      if (!isOpen) {
        isOpen = chunk.includes('HTTP/1.1 200');
        if (isOpen) this.count.opened += 1;
        else this.count.failed += 1;
      }
      for (let at = chunk.indexOf(EVENT_MARK); at >= 0; at = chunk.indexOf(EVENT_MARK, at + 1)) {
        this.count.tokens += 1;
      }
    });
    socket.on('error', () => {});
    socket.on('close', () => {
      this.count.ended += 1;
      this.#sockets.delete(socket);
    });
  }
}
