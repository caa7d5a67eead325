import type { Socket } from 'node:net';

const NO_BYTES: Buffer = Buffer.alloc(0);

/** What was received on a connection and not read yet; the connection isn't read on while that is much. @internal */
export class ReceivedBytes {
  readonly #transport: Socket;

  /** Bytes that were taken from the transport, the first ones first. */
  #taken: Buffer = NO_BYTES;

  constructor(transport: Socket) {
    this.#transport = transport;
  }

  get length(): number {
    return this.#taken.length + this.#transport.readableLength;
  }

  /** Takes the first bytes, at most `maxBytes` of them. */
  take(maxBytes: number): Buffer {
    if (this.#taken.length === 0) this.#taken = this.#read(maxBytes);
    const bytes = this.#taken.subarray(0, maxBytes);
    this.#taken = this.#taken.subarray(bytes.length);
    return bytes;
  }

  /** Puts back bytes that were taken last. */
  putBack(bytes: Buffer): void {
    this.#taken = this.#taken.length === 0 ? bytes : Buffer.concat([bytes, this.#taken]);
  }

  /** Takes bytes from the transport until there are `maxBytes`, so that the end behind them is noticed. */
  lookAhead(maxBytes: number): void {
    while (this.#taken.length < maxBytes) {
      const bytes = this.#transport.read() as Buffer | null;
      if (bytes === null) return;
      this.#taken = Buffer.concat([this.#taken, bytes]);
    }
  }

  /** Forgets all bytes and returns how many there were. */
  clear(): number {
    const { length } = this;
    this.#taken = NO_BYTES;
    this.#transport.read();
    return length;
  }

  /** Gives all bytes back to the transport. */
  release(): void {
    if (this.#taken.length > 0) this.#transport.unshift(this.#taken);
    this.#taken = NO_BYTES;
  }

  #read(maxBytes: number): Buffer {
    const bytes = Math.min(maxBytes, this.#transport.readableLength);
    const read = bytes > 0 ? (this.#transport.read(bytes) as Buffer | null) : null;
    // The end behind the last bytes is noticed only by a further read.
    if (this.#transport.readableLength === 0) this.#transport.read(0);
    return read ?? NO_BYTES;
  }
}
