import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';
import { LineLimit, type Journal, type Timer } from '@berylwood/base';
import { memoryEvents } from './memoryEvents';

/** Part of the connections that is closed beyond the excess. */
const SLACK_SHARE = 1 / 16;

/** A connection, with the number of bytes that were received on it. */
type Connection = Duplex & { readonly bytesRead: number };

/** @internal */
export interface UnfinishedHeadsOptions {
  /** Connections that may wait for a request at the same time. */
  readonly maxWaiting: number;
  readonly timer: Timer;
  readonly journal: Journal;
}

/**
 * Limits the connections of a server that have no request: new or idle ones, and those with an unfinished head.
 * Load pattern: clients open more connections than the process has descriptors, and send no complete head.
 * Over the limit, connections that have sent part of a head or have never sent a request are closed first,
 * and the longest waiting ones of them.
 * @internal
 */
export class UnfinishedHeads {
  readonly #options: UnfinishedHeadsOptions;

  readonly #lines: LineLimit;

  /** Waiting connections in the order in which their wait began, with the bytes read before it. */
  readonly #waiting = new Map<Connection, number>();

  /** Requests of a connection without a complete response; several if the client sends them ahead. */
  readonly #requests = new WeakMap<Duplex, number>();

  constructor(options: UnfinishedHeadsOptions) {
    this.#options = options;
    this.#lines = new LineLimit(options.timer, 1);
  }

  /** Number of connections that wait for a request. */
  get size(): number {
    return this.#waiting.size;
  }

  /** Notes the requests of a server whose connections are passed to `accept`. */
  watch(server: Server): void {
    server.on('upgrade', ({ socket }: IncomingMessage) => this.#waiting.delete(socket));
    server.on('request', ({ socket }: IncomingMessage, response: ServerResponse) => {
      this.#waiting.delete(socket);
      this.#requests.set(socket, (this.#requests.get(socket) ?? 0) + 1);
      response.once('close', () => {
        const left = (this.#requests.get(socket) ?? 1) - 1;
        this.#requests.set(socket, left);
        if (left === 0 && !socket.destroyed) this.#wait(socket);
      });
    });
  }

  /** A connection has been opened. */
  accept(connection: Connection): void {
    this.#wait(connection);
  }

  #wait(socket: Connection): void {
    const isNew = socket.bytesRead === 0;
    this.#waiting.delete(socket);
    this.#waiting.set(socket, socket.bytesRead);
    if (!isNew) return;
    socket.once('close', () => this.#waiting.delete(socket));
    const { maxWaiting } = this.#options;
    if (this.#waiting.size > maxWaiting) this.#close(Math.ceil(maxWaiting * SLACK_SHARE));
  }

  #close(count: number): void {
    const all = [...this.#waiting];
    const isIdle = ([socket, bytes]: [Connection, number]): boolean =>
      bytes > 0 && socket.bytesRead === bytes;
    const ranked = [...all.filter((item) => !isIdle(item)), ...all.filter(isIdle)];
    for (const [socket] of ranked.slice(0, count)) {
      this.#waiting.delete(socket);
      socket.destroy();
    }
    if (!this.#lines.take()) return;
    const { maxWaiting } = this.#options;
    this.#options.journal.record(memoryEvents.connectionsClosed, { closed: count, maxWaiting });
  }
}
