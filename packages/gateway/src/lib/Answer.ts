import type { ServerResponse } from 'node:http';
import type { AnswerHead } from './Attempt';
import { EventScanner } from './EventScanner';
import type { Wire } from './Wire';

/** Bytes of a plain answer that are held back, so that a broken one can be had elsewhere. */
const MAX_HELD_BYTES = 256 * 1024;

const FIRST_FAILURE = 500;

/**
 * The answer to a caller. Plain answers are held until they are complete; streams are passed on in
 * whole events, and their head with the first one, so that until then another endpoint can answer.
 * @internal
 */
export class Answer {
  readonly #response: ServerResponse;

  readonly #wire: Wire;

  #head: AnswerHead | undefined;

  #scanner: EventScanner | undefined;

  #held: Buffer[] = [];

  #heldBytes = 0;

  #isStarted = false;

  #isClosing = false;

  constructor(response: ServerResponse, wire: Wire) {
    this.#response = response;
    this.#wire = wire;
  }

  /** Whether the caller has got the head. */
  get isStarted(): boolean {
    return this.#isStarted;
  }

  get isEventStream(): boolean {
    return this.#head?.isEventStream ?? false;
  }

  get status(): number {
    return this.#head?.status ?? 0;
  }

  /** Whether the endpoint failed to serve the request. */
  get isFailure(): boolean {
    return this.status >= FIRST_FAILURE;
  }

  get hasEvents(): boolean {
    return this.#isStarted && this.isEventStream;
  }

  /** Whether bytes of an unfinished event are left. */
  get hasRest(): boolean {
    return this.#scanner?.hasRest ?? false;
  }

  /** Id of the last event that was passed on. */
  get lastEventId(): string | undefined {
    return this.#isStarted ? this.#scanner?.lastId : undefined;
  }

  /** Takes the head of an endpoint's answer; a stream that goes on keeps its first one. */
  begin(head: AnswerHead, isClosing: boolean): void {
    if (this.#isStarted) return;
    this.#head = head;
    this.#isClosing = isClosing;
    if (head.isEventStream) this.#scanner ??= new EventScanner();
  }

  /** Takes a part of the body; false when the caller doesn't keep up. */
  push(chunk: Buffer): boolean {
    if (this.#scanner) {
      const { bytes } = this.#scanner.push(chunk);
      return bytes.length === 0 || this.#write(bytes);
    }
    if (this.#isStarted) return this.#write(chunk);
    this.#held.push(chunk);
    this.#heldBytes += chunk.length;
    return this.#heldBytes <= MAX_HELD_BYTES || this.#write(Buffer.concat(this.#takeHeld()));
  }

  /** Drops what another endpoint will send anew. */
  reset(): void {
    this.#takeHeld();
    this.#scanner?.dropRest();
    if (!this.#isStarted) this.#scanner = undefined;
  }

  /** Completes the answer. */
  finish(): void {
    const body = Buffer.concat(this.#takeHeld());
    const isSized = !this.isEventStream && this.#head?.hasLength;
    if (!this.#isStarted) this.#start(isSized ? body.length : undefined);
    this.#response.end(body);
  }

  #takeHeld(): Buffer[] {
    const held = this.#held;
    this.#held = [];
    this.#heldBytes = 0;
    return held;
  }

  #write(bytes: Buffer): boolean {
    if (!this.#isStarted) this.#start(undefined);
    return this.#response.write(bytes);
  }

  #start(bodyBytes: number | undefined): void {
    const { status = 0, rawHeaders = [] } = this.#head ?? {};
    const headers = this.#wire.answerHeaders(rawHeaders);
    if (bodyBytes !== undefined) headers.push('Content-Length', String(bodyBytes));
    const isUnframed = this.#head?.hasLength === false;
    if (this.#isClosing || isUnframed) headers.push('Connection', 'close');
    // Whether such an answer is whole can't be known, so the caller gets it without a length, too.
    if (isUnframed) this.#response.useChunkedEncodingByDefault = false;
    this.#isStarted = true;
    this.#response.writeHead(status, headers);
  }
}
