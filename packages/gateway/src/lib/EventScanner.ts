/** Complete events found in the received bytes of a stream. @internal */
export interface ScannedEvents {
  /** Bytes of the complete events, in order; empty if there are none. */
  readonly bytes: Buffer;
  /** Id of the last complete event that has an id. */
  readonly lastId: string | undefined;
}

const EMPTY = Buffer.alloc(0);
const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** Bytes at the end of a partial event that may begin the empty line after it. */
const MAX_OVERLAP_BYTES = 2;

/** Smallest buffer for a partial event, in bytes. */
const MIN_BUFFER_BYTES = 512;

/**
 * Splits a stream of server-sent events into complete events, so that a caller never receives part of an
 * event that the endpoint did not finish. Events that a resumed stream repeats are dropped. The cost is
 * linear in the bytes received, however an endpoint splits an event.
 * @internal
 */
export class EventScanner {
  /** Buffer whose first `#partialBytes` bytes are the partial event. */
  #buffer = EMPTY;

  #partialBytes = 0;

  #lastId: string | undefined;

  /** Size of the incomplete event, in bytes. */
  get partialEventBytes(): number {
    return this.#partialBytes;
  }

  get lastId(): string | undefined {
    return this.#lastId;
  }

  /** Discards the incomplete event, since another endpoint sends it again. */
  dropPartialEvent(): void {
    this.#buffer = EMPTY;
    this.#partialBytes = 0;
  }

  push(chunk: Buffer): ScannedEvents {
    let searchFrom = Math.max(0, this.#partialBytes - MAX_OVERLAP_BYTES);
    const bytes = this.#partialBytes > 0 ? this.#append(chunk) : chunk;
    const parts: Buffer[] = [];
    let from = 0;
    for (let end = findEnd(bytes, searchFrom); end > 0; end = findEnd(bytes, searchFrom)) {
      const event = bytes.subarray(from, end);
      from = end;
      searchFrom = end;
      if (!this.#isRepeated(event)) parts.push(event);
    }
    // The caller may still read the complete events from the buffer, so the rest moves to another one.
    if (from > 0 || bytes === chunk) this.#keep(bytes.subarray(from));
    const whole = parts.length === 1 ? (parts[0] as Buffer) : Buffer.concat(parts);
    return { bytes: whole, lastId: this.#lastId };
  }

  #keep(rest: Buffer): void {
    this.dropPartialEvent();
    if (rest.length > 0) this.#append(rest);
  }

  /** Adds to the partial event and returns it. The buffer doubles, so that each byte is copied rarely. */
  #append(chunk: Buffer): Buffer {
    const bytes = this.#partialBytes + chunk.length;
    if (bytes > this.#buffer.length) {
      const larger = Buffer.allocUnsafe(Math.max(MIN_BUFFER_BYTES, 2 * bytes));
      this.#buffer.copy(larger, 0, 0, this.#partialBytes);
      this.#buffer = larger;
    }
    chunk.copy(this.#buffer, this.#partialBytes);
    this.#partialBytes = bytes;
    return this.#buffer.subarray(0, bytes);
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
    if (bytes[at + 1] === CARRIAGE_RETURN && bytes[at + 2] === LINE_FEED) return at + 3;
  }
  return 0;
}

function readId(event: Buffer): string | undefined {
  const match = /^id: ?([^\r\n]*)/m.exec(event.toString('latin1'));
  return match?.[1];
}
