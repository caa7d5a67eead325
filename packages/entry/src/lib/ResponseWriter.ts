import type { ServerResponse } from 'node:http';
import type { Failure } from '@berylwood/base';
import { sendFailure } from './sendFailure';

/** Bytes after which the sidecar gets an acknowledgement, so that it can discard them. */
const ACKNOWLEDGE_BYTES = 32 * 1024;

const KEEP_ALIVE_COMMENT = ': keep-alive\n\n';
const EVENT_END = Buffer.from('\n\n');

/** Writes a response in order, without gaps or repetition, with backpressure. @internal */
export class ResponseWriter {
  /** Called with the offset up to which the response may be acknowledged to the sidecar. */
  onConsumed: (offset: number) => void = () => {};

  readonly #response: ServerResponse;

  #head: { status: number; headers: Record<string, string> } | undefined;

  #received = 0;

  #acknowledged = 0;

  #isAtEventEnd = true;

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
    this.#isAtEventEnd = EVENT_END.equals(bytes.subarray(-EVENT_END.length));
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
    if (!this.#isAtEventEnd) this.#response.write(EVENT_END);
    sendFailure(this.#response, failure);
  }

  /** Writes a keep-alive comment to an event stream without data since the last call. */
  keepAlive(): void {
    const isQuiet = !this.#isActive && this.#isAtEventEnd && this.#response.writableLength === 0;
    this.#isActive = false;
    const isStream = this.#head?.headers['content-type']?.startsWith('text/event-stream');
    if (!isQuiet || !isStream || this.#head?.status !== 200) return;
    this.#sendHead();
    this.#response.write(KEEP_ALIVE_COMMENT);
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
