import type { ServerResponse } from 'node:http';
import type { ResponseHead } from './Attempt';
import { EventScanner } from './EventScanner';
import type { Wire } from './Wire';

/** Bytes of a plain answer that are held back, so that a broken one can be had elsewhere. */
const MAX_BUFFERED_BYTES = 256 * 1024;

const MIN_FAILURE_STATUS = 500;

/**
 * The answer to a caller. Plain answers are held until they are complete; streams are passed on in
 * whole events, and their head with the first one, so that until then another endpoint can answer.
 * @internal
 */
export class ResponseRelay {
  readonly #response: ServerResponse;

  readonly #wire: Wire;

  #head: ResponseHead | undefined;

  #scanner: EventScanner | undefined;

  #buffered: Buffer[] = [];

  #bufferedBytes = 0;

  #isHeadSent = false;

  #closesConnection = false;

  constructor(response: ServerResponse, wire: Wire) {
    this.#response = response;
    this.#wire = wire;
  }

  /** Whether the caller has got the head. */
  get isHeadSent(): boolean {
    return this.#isHeadSent;
  }

  get isEventStream(): boolean {
    return this.#head?.isEventStream ?? false;
  }

  get status(): number {
    return this.#head?.status ?? 0;
  }

  /** Whether the endpoint failed to serve the request. */
  get isFailure(): boolean {
    return this.status >= MIN_FAILURE_STATUS;
  }

  get hasSentEvents(): boolean {
    return this.#isHeadSent && this.isEventStream;
  }

  /** Whether bytes of an unfinished event are left. */
  get hasPartialEvent(): boolean {
    return this.#scanner?.hasPartialEvent ?? false;
  }

  /** Id of the last event that was passed on. */
  get lastEventId(): string | undefined {
    return this.#isHeadSent ? this.#scanner?.lastId : undefined;
  }

  /** Takes the head of an endpoint's answer; a stream that goes on keeps its first one. */
  setHead(head: ResponseHead, closesConnection: boolean): void {
    if (this.#isHeadSent) return;
    this.#head = head;
    this.#closesConnection = closesConnection;
    if (head.isEventStream) this.#scanner ??= new EventScanner();
  }

  /** Takes a part of the body; false when the caller doesn't keep up. */
  push(chunk: Buffer): boolean {
    if (this.#scanner) {
      const { bytes } = this.#scanner.push(chunk);
      return bytes.length === 0 || this.#write(bytes);
    }
    if (this.#isHeadSent) return this.#write(chunk);
    this.#buffered.push(chunk);
    this.#bufferedBytes += chunk.length;
    return (
      this.#bufferedBytes <= MAX_BUFFERED_BYTES || this.#write(Buffer.concat(this.#takeBuffered()))
    );
  }

  /** Drops what another endpoint will send anew. */
  reset(): void {
    this.#takeBuffered();
    this.#scanner?.dropPartialEvent();
    if (!this.#isHeadSent) this.#scanner = undefined;
  }

  /** Completes the answer. */
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
    return this.#response.write(bytes);
  }

  #sendHead(bodyBytes: number | undefined): void {
    const { status = 0, rawHeaders = [] } = this.#head ?? {};
    const headers = this.#wire.responseHeaders(rawHeaders);
    if (bodyBytes !== undefined) headers.push('Content-Length', String(bodyBytes));
    const isUnframed = this.#head?.hasLength === false;
    if (this.#closesConnection || isUnframed) headers.push('Connection', 'close');
    // Whether such an answer is whole can't be known, so the caller gets it without a length, too.
    if (isUnframed) this.#response.useChunkedEncodingByDefault = false;
    this.#isHeadSent = true;
    this.#response.writeHead(status, headers);
  }
}
