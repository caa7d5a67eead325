/** Complete events found in the received bytes of a stream. @internal */
export interface ScannedEvents {
  /** Bytes of the complete events, in order; empty if there are none. */
  readonly bytes: Buffer;
  /** Id of the last complete event that has an id. */
  readonly lastId: string | undefined;
}

const EMPTY = Buffer.alloc(0);
const LINE_FEED = 0x0a;

/**
 * Splits a stream of server-sent events into complete events, so that a caller never receives part of an
 * event that the endpoint did not finish. Events that a resumed stream repeats are dropped.
 * @internal
 */
export class EventScanner {
  #pending = EMPTY;

  #lastId: string | undefined;

  /** Whether bytes of an incomplete event are pending. */
  get hasPartialEvent(): boolean {
    return this.#pending.length > 0;
  }

  get lastId(): string | undefined {
    return this.#lastId;
  }

  /** Discards the incomplete event, since another endpoint sends it again. */
  dropPartialEvent(): void {
    this.#pending = EMPTY;
  }

  push(chunk: Buffer): ScannedEvents {
    const bytes = this.#pending.length > 0 ? Buffer.concat([this.#pending, chunk]) : chunk;
    const parts: Buffer[] = [];
    let from = 0;
    for (let end = findEnd(bytes, from); end > 0; end = findEnd(bytes, from)) {
      const event = bytes.subarray(from, end);
      from = end;
      if (!this.#isRepeated(event)) parts.push(event);
    }
    this.#pending = from < bytes.length ? Buffer.from(bytes.subarray(from)) : EMPTY;
    const whole = parts.length === 1 ? (parts[0] as Buffer) : Buffer.concat(parts);
    return { bytes: whole, lastId: this.#lastId };
  }

  #isRepeated(event: Buffer): boolean {
    const id = readId(event);
    if (id === undefined) return false;
    const isOld = this.#lastId !== undefined && Number(id) <= Number(this.#lastId);
    if (!isOld) this.#lastId = id;
    return isOld;
  }
}

/** Returns the position after the empty line that ends an event, or 0 if there is none. */
function findEnd(bytes: Buffer, from: number): number {
  for (let at = bytes.indexOf(LINE_FEED, from); at >= 0; at = bytes.indexOf(LINE_FEED, at + 1)) {
    if (bytes[at + 1] === LINE_FEED) return at + 2;
    if (bytes[at + 1] === 0x0d && bytes[at + 2] === LINE_FEED) return at + 3;
  }
  return 0;
}

function readId(event: Buffer): string | undefined {
  const match = /^id: ?([^\r\n]*)/m.exec(event.toString('latin1'));
  return match?.[1];
}
