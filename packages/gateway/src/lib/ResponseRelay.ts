import type { ServerResponse } from 'node:http';
import type { ResponseHead } from './Attempt';
import { EventScanner } from './EventScanner';
import { RESPONSE_LIMITS, type ResponseLimits } from './responseLimits';
import type { Wire } from './Wire';

/** Bytes of a plain response that are buffered; until they are sent, another endpoint can serve it. */
const MAX_BUFFERED_BYTES = 256 * 1024;

const MIN_FAILURE_STATUS = 500;

/**
 * Relays an endpoint's response to the caller. Plain responses are buffered until they are complete or
 * exceed the buffer. Streams are forwarded in complete events, and the head with the first event. Until
 * the head is sent, the request can be retried on another endpoint.
 * @internal
 */
export class ResponseRelay {
  readonly #response: ServerResponse;

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

  constructor(response: ServerResponse, wire: Wire) {
    this.#response = response;
    this.#wire = wire;
  }

  /** Bytes of the body that were forwarded to the caller; bytes of an incomplete event are not. */
  get forwardedBytes(): number {
    return this.#forwardedBytes;
  }

  /** Whether the head was sent to the caller. */
  get isHeadSent(): boolean {
    return this.#isHeadSent;
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

  get hasSentEvents(): boolean {
    return this.#isHeadSent && this.isEventStream;
  }

  /** Size of the incomplete event that is pending, in bytes. */
  get partialEventBytes(): number {
    return this.#scanner?.partialEventBytes ?? 0;
  }

  /** Limit that the response exceeds, if any. */
  get exceededLimit(): keyof ResponseLimits | undefined {
    if (this.partialEventBytes > RESPONSE_LIMITS.maxEventBytes) return 'maxEventBytes';
    if (this.#bodyBytes > RESPONSE_LIMITS.maxBodyBytes) return 'maxBodyBytes';
    return undefined;
  }

  /** Id of the last event that was forwarded to the caller. */
  get lastEventId(): string | undefined {
    return this.#isHeadSent ? this.#scanner?.lastId : undefined;
  }

  /** Sets the head of the response; a resumed stream keeps the head that was already sent. */
  setHead(head: ResponseHead, closesConnection: boolean): void {
    if (this.#isHeadSent) return;
    this.#head = head;
    this.#closesConnection = closesConnection;
    if (head.isEventStream) this.#scanner ??= new EventScanner();
  }

  /** Adds a part of the body. Returns false if the caller reads too slowly. */
  push(chunk: Buffer): boolean {
    if (this.#scanner) {
      const { bytes } = this.#scanner.push(chunk);
      return bytes.length === 0 || this.#write(bytes);
    }
    this.#bodyBytes += chunk.length;
    if (this.#isHeadSent) return this.#write(chunk);
    this.#buffered.push(chunk);
    this.#bufferedBytes += chunk.length;
    return (
      this.#bufferedBytes <= MAX_BUFFERED_BYTES || this.#write(Buffer.concat(this.#takeBuffered()))
    );
  }

  /** Discards buffered data, which another endpoint will send again. */
  reset(): void {
    this.#takeBuffered();
    this.#bodyBytes = 0;
    this.#scanner?.dropPartialEvent();
    if (!this.#isHeadSent) this.#scanner = undefined;
  }

  finish(): void {
    const body = Buffer.concat(this.#takeBuffered());
    const isSized = !this.isEventStream && this.#head?.hasLength;
    if (!this.#isHeadSent) this.#sendHead(isSized ? body.length : undefined);
    this.#response.end(body);
  }

  #takeBuffered(): Buffer[] {
    const buffered = this.#buffered;
    this.#buffered = [];
    this.#bufferedBytes = 0;
    return buffered;
  }

  #write(bytes: Buffer): boolean {
    if (!this.#isHeadSent) this.#sendHead(undefined);
    this.#forwardedBytes += bytes.length;
    return this.#response.write(bytes);
  }

  #sendHead(bodyBytes: number | undefined): void {
    const { status = 0, rawHeaders = [] } = this.#head ?? {};
    const headers = this.#wire.responseHeaders(rawHeaders);
    if (bodyBytes !== undefined) headers.push('Content-Length', String(bodyBytes));
    const isUnframed = this.#head?.hasLength === false;
    if (this.#closesConnection || isUnframed) headers.push('Connection', 'close');
    // The end of such a response is not marked, so it is forwarded without chunked encoding as well.
    if (isUnframed) this.#response.useChunkedEncodingByDefault = false;
    this.#isHeadSent = true;
    this.#response.writeHead(status, headers);
  }
}
