import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { Duplex } from 'node:stream';
import type { Timer } from '@berylwood/base';
import { findHeadEnd, MAX_HEAD_END_TAIL } from './findHeadEnd';
import { ReceivedBytes } from './ReceivedBytes';
import type { InputAccount, InputBudget } from './InputBudget';
import { ReaderWatch } from './ReaderWatch';
import type { ReadScheduler, ScheduledReader } from './ReadScheduler';

/** Bytes behind an unanswered request up to which its connection is read, so that the end of the peer is noticed. */
const MAX_AHEAD_BYTES = 16 * 1024;

/** Bytes of a request up to which its connection counts as one with little to read. */
const URGENT_BYTES = 8 * 1024;

/** Time in which a peer that is still sending can read a response after which its connection is closed, in milliseconds. */
const LINGER_MS = 1000;

/** Bytes of the rest of such a peer's request that are thrown away. */
const MAX_LINGER_BYTES = 4 * 1024 * 1024;

/** Heap that a request takes until its response has closed, besides its head, in bytes. */
const REQUEST_BYTES = 8 * 1024;

/** Heap that the decoded fields of a head take, as a multiple of the head. */
const HEAD_FACTOR = 8;

const NO_BYTES: Buffer = Buffer.alloc(0);

type WriteCallback = (error?: Error | null) => void;

/** Parts that connections share. @public */
export interface PacedConnectionParts {
  readonly scheduler: ReadScheduler;
  /** Counts what the connection holds of requests. */
  readonly input: InputBudget;
  readonly timer: Timer;
  /** Called when a connection is closed since its peer reads nothing. */
  readonly onUnread?: () => void;
}

/** The last bytes received, as far as they may belong to the end of a head. */
function tailOf(before: Buffer, bytes: Buffer): Buffer {
  const last = bytes.subarray(-MAX_HEAD_END_TAIL);
  if (last.length === MAX_HEAD_END_TAIL) return last;
  return Buffer.concat([before, last]).subarray(-MAX_HEAD_END_TAIL);
}

/**
 * A connection of an HTTP server that hands what it receives to the server's parser in slices, when a scheduler
 * gives it a turn. A request is begun once the one before it has been answered and its answer has left; until then
 * the connection isn't read, but for the end of the peer's bytes. What it holds of a request counts in a budget from
 * the first byte until the response has closed.
 * @public
 */
export class PacedConnection extends Duplex implements ScheduledReader {
  readonly transport: Socket;

  readonly #parts: PacedConnectionParts;

  readonly #received: ReceivedBytes;

  /** Listeners on the transport until it is released. */
  readonly #listeners = {
    readable: () => this.#receive(),
    end: () => this.#end(),
    error: (error: Error) => {
      this.destroy(error);
    },
    close: () => {
      this.destroy();
    },
    timeout: () => {
      this.emit('timeout');
    },
  };

  /** Whether the parser takes bytes. */
  #isDemanded = false;

  #hasEnded = false;

  #isEndPassedOn = false;

  /** Whether the peer's bytes are thrown away. */
  #isDiscarding = false;

  #discardedBytes = 0;

  #maxDiscardedBytes = Infinity;

  /** The request whose response has not closed. */
  #request: IncomingMessage | undefined;

  /** Bytes of the request's body that are still to come, if its length is stated. */
  #bodyLeftBytes = 0;

  /** Bytes of the unfinished request that the parser was given. */
  #requestBytes = 0;

  /** Whether the request was received before the one ahead of it was answered. */
  #wasAhead = false;

  #tail = NO_BYTES;

  #account: InputAccount | undefined;

  readonly #readerWatch: ReaderWatch;

  constructor(transport: Socket, parts: PacedConnectionParts) {
    super({ allowHalfOpen: true, decodeStrings: false });
    this.transport = transport;
    this.#parts = parts;
    this.#received = new ReceivedBytes(transport);
    this.#readerWatch = new ReaderWatch(transport, parts.timer, () => {
      parts.onUnread?.();
      this.destroy();
    });
    for (const [event, listener] of Object.entries(this.#listeners)) transport.on(event, listener);
  }

  get bytesRead(): number {
    return this.transport.bytesRead;
  }

  get localPort(): number | undefined {
    return this.transport.localPort;
  }

  get remoteAddress(): string | undefined {
    return this.transport.remoteAddress;
  }

  get remotePort(): number | undefined {
    return this.transport.remotePort;
  }

  /** Account of the current request; undefined before its first byte and once its response has closed. */
  get account(): InputAccount | undefined {
    return this.#account;
  }

  get isUrgent(): boolean {
    return !this.#wasAhead && this.#requestBytes < URGENT_BYTES;
  }

  get isReadable(): boolean {
    if (this.#received.length === 0 || this.destroyed) return false;
    return this.#isDiscarding || (this.#isDemanded && !this.#isBlocked);
  }

  get cost(): number {
    return this.#requestBytes;
  }

  /** Records that the parser has read the head of a request. */
  begin(request: IncomingMessage, response: ServerResponse): void {
    this.#request = request;
    this.#bodyLeftBytes = Number(request.headers['content-length'] ?? 0);
    this.#account?.reserve(REQUEST_BYTES + HEAD_FACTOR * this.#requestBytes);
    response.once('close', () => {
      if (this.#request === request) this.#answered();
    });
  }

  readSlice(maxBytes: number): number {
    if (this.#isDiscarding) return this.#dropSlice(maxBytes);
    this.#account ??= this.#openAccount();
    if (this.destroyed) return 0;
    const slice = this.#takeSlice(maxBytes);
    this.#requestBytes += slice.length;
    this.#account.move(slice.length);
    this.#isDemanded = false;
    const isDemanded = this.push(slice) && !this.isPaused();
    this.#isDemanded ||= isDemanded;
    this.#update();
    return slice.length;
  }

  shed(): void {
    if (this.#account) this.#account.end();
    else this.destroy();
  }

  /** Throws away what the peer goes on to send, and closes the connection after `maxBytes` of it. */
  discard(maxBytes: number): void {
    this.#isDiscarding = true;
    this.#maxDiscardedBytes = maxBytes;
    this.#parts.scheduler.add(this);
  }

  /**
   * Returns the transport, for another protocol than HTTP, with the bytes that the parser was not given. The
   * connection isn't used any more.
   */
  release(): Socket {
    const { transport } = this;
    for (const [event, listener] of Object.entries(this.#listeners)) transport.off(event, listener);
    this.#parts.scheduler.delete(this);
    this.#account?.[Symbol.dispose]();
    this.#account = undefined;
    this.#received.release();
    return transport;
  }

  setTimeout(timeoutMs: number, callback?: () => void): this {
    this.transport.setTimeout(timeoutMs);
    if (callback) this.once('timeout', callback);
    return this;
  }

  /**
   * Closes the connection once all written bytes have been passed to the kernel, and some of the rest of an
   * unfinished request has been thrown away: closing a connection with unread bytes resets it, and the peer might
   * lose the response.
   */
  destroySoon(): void {
    if (this.#request?.complete !== false) {
      this.#closeSoon();
      return;
    }
    if (this.writable) this.end();
    const timeout = this.#parts.timer.after(LINGER_MS, () => this.destroy());
    this.once('close', () => timeout[Symbol.dispose]());
    this.discard(MAX_LINGER_BYTES);
  }

  #closeSoon(): void {
    if (this.writable) this.end();
    if (this.writableFinished) this.destroy();
    else this.once('finish', () => this.destroy());
  }

  override _read(): void {
    this.#isDemanded = true;
    this.#parts.scheduler.add(this);
  }

  override _write(chunk: Buffer | string, encoding: BufferEncoding, callback: WriteCallback): void {
    this.transport.write(chunk, encoding, callback);
    this.#readerWatch.written();
  }

  override _writev(
    chunks: { readonly chunk: Buffer | string; readonly encoding: BufferEncoding }[],
    callback: WriteCallback,
  ): void {
    this.transport.cork();
    chunks.forEach(({ chunk, encoding }, at) =>
      this.transport.write(chunk, encoding, at === chunks.length - 1 ? callback : undefined),
    );
    this.transport.uncork();
    this.#readerWatch.written();
  }

  override _final(callback: WriteCallback): void {
    this.transport.end(() => callback());
  }

  override _destroy(error: Error | null, callback: WriteCallback): void {
    this.#parts.scheduler.delete(this);
    this.#readerWatch[Symbol.dispose]();
    this.#account?.[Symbol.dispose]();
    this.#account = undefined;
    this.transport.destroy();
    callback(error);
  }

  /** Whether the request ahead is complete and not answered yet. */
  get #isBlocked(): boolean {
    return this.#request?.complete ?? false;
  }

  #receive(): void {
    if (this.#isBlocked || this.transport.readableLength === 0) {
      this.#received.lookAhead(MAX_AHEAD_BYTES);
    }
    this.#update();
    this.#parts.scheduler.add(this);
  }

  #dropSlice(maxBytes: number): number {
    const { length } = this.#received.take(maxBytes);
    this.#discardedBytes += length;
    if (this.#discardedBytes > this.#maxDiscardedBytes) this.destroy();
    return length;
  }

  /** Counts what is held, and passes the end on behind it. */
  #update(): void {
    if (this.destroyed || this.#isDiscarding) return;
    const isWaiting = this.#received.length > 0 && !this.#isBlocked;
    const headBytes = this.#request ? 0 : this.#requestBytes;
    this.#account?.receive(this.#received.length + headBytes, isWaiting);
    if (this.#isBlocked) this.#account?.complete();
    if (!this.#hasEnded || this.#received.length > 0 || this.#isEndPassedOn) return;
    this.#isEndPassedOn = true;
    this.push(null);
  }

  #openAccount(): InputAccount {
    return this.#parts.input.open(() => this.destroy());
  }

  /** Takes received bytes up to the end of the stated body, or else up to where a head may end. */
  #takeSlice(maxBytes: number): Buffer {
    if (this.#bodyLeftBytes > 0) {
      const slice = this.#received.take(Math.min(maxBytes, this.#bodyLeftBytes));
      this.#bodyLeftBytes -= slice.length;
      return slice;
    }
    const bytes = this.#received.take(maxBytes);
    const end = findHeadEnd(this.#tail, bytes);
    const slice = end < 0 ? bytes : bytes.subarray(0, end);
    this.#received.putBack(bytes.subarray(slice.length));
    this.#tail = end < 0 ? tailOf(this.#tail, bytes) : NO_BYTES;
    return slice;
  }

  /** The response of the request has closed: what was received after it is read. */
  #answered(): void {
    this.#request = undefined;
    this.#bodyLeftBytes = 0;
    this.#requestBytes = 0;
    this.#wasAhead = this.#received.length > 0;
    this.#account?.[Symbol.dispose]();
    this.#account = undefined;
    this.#update();
    this.#parts.scheduler.add(this);
  }

  /** The peer has sent all it will. Requests that it has sent ahead are not begun any more. */
  #end(): void {
    this.#hasEnded = true;
    if (this.#isBlocked) this.#received.clear();
    if (this.#isDiscarding) this.#closeSoon();
    else this.#update();
  }
}
