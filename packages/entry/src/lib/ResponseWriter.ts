import type { ServerResponse } from 'node:http';
import type { Failure } from '@berylwood/base';
import { BLANK_LINE_BYTES, endsWithBlankLine } from '@berylwood/event-stream';
import { isOpenEventStream } from './isOpenEventStream';
import { sendFailure } from './sendFailure';

/** Bytes after which the sidecar gets an acknowledgement, so that it can discard them. */
const ACKNOWLEDGE_BYTES = 32 * 1024;

const KEEP_ALIVE_COMMENT = ': keep-alive\n\n';

/** Writes a response in order, without gaps or repetition, with backpressure. @internal */
export class ResponseWriter {
  /** Called with the offset up to which the response may be acknowledged to the sidecar. */
  onConsumed: (offset: number) => void = () => {};

  readonly #response: ServerResponse;

  #head: { status: number; headers: Record<string, string> } | undefined;

  #received = 0;

  #acknowledged = 0;

  /** Last bytes that were written, which may come from several parts. */
  #tail: Uint8Array = new Uint8Array();

  #isDraining = false;

  /** Whether data was written since the last call of `keepAlive`. */
  #isActive = true;

  constructor(response: ServerResponse) {
    this.#response = response;
  }

  /** Bytes of the response received so far. */
  get received(): number {
    return this.#received;
  }

  /** Whether no byte was received yet, so that another attempt can still respond. */
  get isEmpty(): boolean {
    return this.#received === 0;
  }

  /** Stores the head until there is data to send; until then another attempt can replace it. */
  head(status: number, headers: Record<string, string>): void {
    this.#head = { status, headers };
  }

  /** Writes a part of the response; returns false if it leaves a gap or contains nothing new. */
  data(offset: number, bytes: Uint8Array): boolean {
    const end = offset + bytes.length;
    if (offset > this.#received || end <= this.#received) return false;
    const rest = offset === this.#received ? bytes : bytes.subarray(this.#received - offset);
    this.#received = end;
    this.#sendHead();
    this.#isActive = true;
    this.#tail = lastBytes(this.#tail, rest);
    const isWritable = this.#response.write(rest);
    if (!isWritable) this.#acknowledgeOnDrain();
    else if (!this.#isDraining) this.#acknowledge(ACKNOWLEDGE_BYTES);
    return true;
  }

  end(): void {
    this.#sendHead();
    this.#response.end();
  }

  /** Ends with an error, also if part of the response was sent. */
  fail(failure: Failure): void {
    // An error after an unfinished event would complete the event for its reader.
    if (this.#isAtEventEnd) sendFailure(this.#response, failure);
    else this.#response.destroy();
  }

  /** Writes a keep-alive comment to an event stream without data since the last call. */
  keepAlive(): void {
    const isQuiet = !this.#isActive && this.#isAtEventEnd && this.#response.writableLength === 0;
    this.#isActive = false;
    if (!isQuiet || this.#head?.status !== 200) return;
    if (!isOpenEventStream(this.#head.headers)) return;
    this.#sendHead();
    this.#response.write(KEEP_ALIVE_COMMENT);
  }

  /** Whether the bytes written so far end between two events. */
  get #isAtEventEnd(): boolean {
    return this.isEmpty || endsWithBlankLine(this.#tail);
  }

  #sendHead(): void {
    if (!this.#head || this.#response.headersSent) return;
    const { status, headers } = this.#head;
    // `sendFailure` can only read headers that were set by `setHeader`.
    for (const [name, value] of Object.entries(headers)) this.#response.setHeader(name, value);
    this.#response.writeHead(status);
  }

  #acknowledgeOnDrain(): void {
    if (this.#isDraining) return;
    this.#isDraining = true;
    this.#response.once('drain', () => {
      this.#isDraining = false;
      this.#acknowledge(0);
    });
  }

  #acknowledge(minBytes: number): void {
    if (this.#received - this.#acknowledged < minBytes) return;
    this.#acknowledged = this.#received;
    this.onConsumed(this.#received);
  }
}

/** Returns the bytes at the end of two parts that may be a blank line. */
function lastBytes(before: Uint8Array, next: Uint8Array): Uint8Array {
  if (next.length >= BLANK_LINE_BYTES) return next.slice(-BLANK_LINE_BYTES);
  return Buffer.concat([before, next]).subarray(-BLANK_LINE_BYTES);
}
