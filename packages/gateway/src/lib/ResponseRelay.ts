import type { ServerResponse } from 'node:http';
import { EventScanner, IncreasingIds } from '@berylwood/event-stream';
import type { ResponseHead } from './readResponseHead';
import { bodilessStatuses } from './bodilessStatuses';
import { RESPONSE_LIMITS, type ResponseLimits } from './responseLimits';
import type { Wire } from './Wire';

/** Bytes of a plain response that are buffered; until they are sent, another endpoint can serve it. */
const MAX_BUFFERED_BYTES = 256 * 1024;

const MIN_FAILURE_STATUS = 500;

/** Time after which the connection of a cut response is destroyed, in milliseconds. */
const CUT_TIMEOUT_MS = 1000;

/**
 * Relays an endpoint's response to the caller. Plain responses are buffered until they are complete or
 * exceed the buffer. Streams are forwarded in complete events, and the head with the first event. Until
 * the head is sent, the request can be retried on another endpoint.
 *
 * The caller can tell a cut response from a complete one however it ends, even by a kill of this process: it
 * is sent in chunks or with its length. A caller that reads no chunks gets each response once it is complete,
 * unless the endpoint has stated the length. A plain response that ends with the endpoint's connection is sent at
 * its end, and in the same form: this process can't vouch for more than the endpoint did.
 * @internal
 */
export class ResponseRelay {
  /** Response to the caller. */
  readonly response: ServerResponse;

  readonly #wire: Wire;

  #head: ResponseHead | undefined;

  #scanner: EventScanner | undefined;

  #buffered: Buffer[] = [];

  #bufferedBytes = 0;

  /** Bytes of a plain response received so far. */
  #bodyBytes = 0;

  #forwardedBytes = 0;

  #isHeadSent = false;

  #closesConnection = false;

  /** Whether nothing may reach the caller yet. */
  #isHeld = false;

  /** Whether the caller's version of HTTP has chunked transfer encoding. */
  readonly #readsChunks: boolean;

  constructor(response: ServerResponse, wire: Wire) {
    this.response = response;
    this.#wire = wire;
    this.#readsChunks = response.useChunkedEncodingByDefault;
  }

  /** Bytes of the body that were accepted for the caller; those of an incomplete event are not. */
  get forwardedBytes(): number {
    return this.#forwardedBytes;
  }

  /** Bytes that are held for the caller. */
  get heldBytes(): number {
    return this.#bufferedBytes + this.response.writableLength;
  }

  /** Whether the head was sent to the caller. */
  get isHeadSent(): boolean {
    return this.#isHeadSent;
  }

  /** Whether another endpoint can continue the response, or nothing of it was sent. */
  get canBeContinued(): boolean {
    return !this.#isHeadSent || this.isEventStream;
  }

  get isEventStream(): boolean {
    return this.#head?.isEventStream ?? false;
  }

  get status(): number {
    return this.#head?.status ?? 0;
  }

  /** Whether the endpoint returned a server error. */
  get isFailure(): boolean {
    return this.status >= MIN_FAILURE_STATUS;
  }

  /** Number of events accepted for the caller; undefined if the body is not read as a stream of events. */
  get eventCount(): number | undefined {
    return this.#scanner?.eventCount;
  }

  /** Whether the response has a complete event. */
  get hasEvents(): boolean {
    return this.isEventStream && this.#forwardedBytes > 0;
  }

  /** Size of the incomplete event that is pending, in bytes. */
  get partialEventBytes(): number {
    return this.#scanner?.partialEventBytes ?? 0;
  }

  /** Whether the response so far ends inside an event. */
  get endsInsideEvent(): boolean {
    return this.#scanner?.hasPartialEvent ?? false;
  }

  /** Why the rest of the response cannot be relayed; undefined if it can. */
  get problem(): string | undefined {
    if (this.exceededLimit) return `the response exceeds ${this.exceededLimit}`;
    const problem = this.#scanner?.problem;
    return problem === undefined ? undefined : `malformed response: ${problem}`;
  }

  /** Limit that the response exceeds, if any. */
  get exceededLimit(): keyof ResponseLimits | undefined {
    if (this.partialEventBytes > RESPONSE_LIMITS.maxEventBytes) return 'maxEventBytes';
    if (this.#bodyBytes > RESPONSE_LIMITS.maxBodyBytes) return 'maxBodyBytes';
    if (this.#bufferedBytes > RESPONSE_LIMITS.maxBufferedBytes) return 'maxBufferedBytes';
    return undefined;
  }

  /** Id of the last event that was forwarded to the caller. */
  get lastEventId(): string | undefined {
    return this.#isHeadSent ? this.#scanner?.lastId : undefined;
  }

  /**
   * Sets the head of the response; a resumed stream keeps the head that was already sent.
   * @param resumeAfter - id of the last event that the caller has from another response.
   */
  setHead(head: ResponseHead, closesConnection: boolean, resumeAfter?: string): void {
    if (this.#isHeadSent) return;
    this.#head = head;
    this.#closesConnection = closesConnection;
    if (head.isEventStream) this.#scanner ??= new EventScanner(new IncreasingIds(resumeAfter));
  }

  /** Adds a part of the body. Returns false if the caller reads too slowly. */
  push(chunk: Buffer): boolean {
    if (this.#scanner) {
      const { bytes } = this.#scanner.push(chunk);
      return bytes.length === 0 || this.#accept(bytes, 0);
    }
    this.#bodyBytes += chunk.length;
    return this.#accept(chunk, MAX_BUFFERED_BYTES);
  }

  /** Discards buffered data, which another endpoint will send again. */
  reset(): void {
    this.#takeBuffered();
    this.#bodyBytes = 0;
    this.#isHeld = false;
    this.#scanner?.resume();
    if (this.#isHeadSent) return;
    this.#scanner = undefined;
    this.#forwardedBytes = 0;
  }

  /** Keeps what arrives from the caller until `release`. */
  hold(): void {
    this.#isHeld = !this.#isHeadSent;
  }

  /** Whether buffered data can be sent before the response is complete. */
  get canPassOn(): boolean {
    return !this.#isHeadSent && !this.#isHeld && this.#bufferedBytes > 0 && this.#canDelimit;
  }

  /** Sends buffered data to the caller; false if the caller reads too slowly. */
  passOn(): boolean {
    return this.#sendBuffered();
  }

  /** Sends what was held to the caller. Returns false if the caller reads too slowly. */
  release(): boolean {
    this.#isHeld = false;
    if (this.#isHeadSent || this.#bufferedBytes === 0 || !this.#canDelimit) return true;
    return this.#sendBuffered();
  }

  /** Ends a complete response. */
  finish(): void {
    const body = Buffer.concat(this.#takeBuffered());
    if (!this.#isHeadSent) this.#sendHead(body.length);
    this.response.end(body);
  }

  /** Ends a response whose head was sent, so that the caller sees that it is incomplete. */
  cut(): void {
    const { socket } = this.response;
    // What was written leaves first, but is not waited for if the caller does not read.
    socket?.setTimeout(CUT_TIMEOUT_MS, () => socket.destroy());
    socket?.destroySoon();
  }

  /** Sends bytes of the body, or buffers them while there are at most `maxBufferedBytes` of them. */
  #accept(bytes: Buffer, maxBufferedBytes: number): boolean {
    this.#forwardedBytes += bytes.length;
    if (this.#isHeadSent) return this.response.write(bytes);
    this.#buffered.push(bytes);
    this.#bufferedBytes += bytes.length;
    if (this.#isHeld) return false;
    if (this.#bufferedBytes <= maxBufferedBytes || !this.#canDelimit) return true;
    return this.#sendBuffered();
  }

  #sendBuffered(): boolean {
    this.#sendHead(undefined);
    return this.response.write(Buffer.concat(this.#takeBuffered()));
  }

  #takeBuffered(): Buffer[] {
    const buffered = this.#buffered;
    this.#buffered = [];
    this.#bufferedBytes = 0;
    return buffered;
  }

  /** Whether the caller can tell the end of the body before the response is complete. */
  get #canDelimit(): boolean {
    if (this.#isUnframed) return false;
    return this.#readsChunks || this.#statedLength !== undefined;
  }

  /** Whether nothing shows that the body is complete; the end of a stream shows it by its events. */
  get #isUnframed(): boolean {
    return !this.isEventStream && (this.#head?.endsWithConnection ?? false);
  }

  /** Bytes of the body as stated; a resumed stream may be longer or shorter than its first endpoint stated. */
  get #statedLength(): number | undefined {
    return this.isEventStream ? undefined : this.#head?.contentLength;
  }

  /** @param bodyBytes - size of the body if it is complete. */
  #sendHead(bodyBytes: number | undefined): void {
    const { status = 0, rawHeaders = [] } = this.#head ?? {};
    const headers = this.#wire.responseHeaders(rawHeaders);
    const hasBody = !bodilessStatuses.has(status);
    const isHead = this.response.req.method === 'HEAD';
    const length = isHead ? this.#statedLength : (bodyBytes ?? this.#statedLength);
    if (this.#isUnframed) this.response.useChunkedEncodingByDefault = false;
    else if (hasBody && length !== undefined) headers.push('Content-Length', String(length));
    if (this.#closesConnection || this.#isUnframed) headers.push('Connection', 'close');
    this.#isHeadSent = true;
    this.response.writeHead(status, headers);
  }
}
