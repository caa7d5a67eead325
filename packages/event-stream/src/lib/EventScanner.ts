import { decodeEvent } from './decodeEvent';

/** Complete events found in the received bytes of a stream. @public */
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
 * event that the endpoint did not finish. Events that a resumed stream repeats are dropped. Nothing is read
 * after a block that is no event, or whose id does not increase. The cost is linear in the bytes received,
 * however an endpoint splits an event.
 * @public
 */
export class EventScanner {
  /** Buffer whose first `#partialBytes` bytes are the partial event. */
  #buffer = EMPTY;

  #partialBytes = 0;

  #lastId: number | undefined;

  /** Whether the stream may still repeat events that were forwarded before it was resumed. */
  #mayRepeat = false;

  #problem: string | undefined;

  #eventCount = 0;

  /** Number of events returned so far. */
  get eventCount(): number {
    return this.#eventCount;
  }

  /** Why the stream holds bytes that are no part of it; undefined if it does not. */
  get problem(): string | undefined {
    return this.#problem;
  }

  /** Size of the incomplete event, in bytes. */
  get partialEventBytes(): number {
    return this.#partialBytes;
  }

  /** Whether there is an incomplete event; the ends of lines after an event are none. */
  get hasPartialEvent(): boolean {
    const partial = this.#buffer.subarray(0, this.#partialBytes);
    return partial.some((byte) => byte !== LINE_FEED && byte !== CARRIAGE_RETURN);
  }

  get lastId(): string | undefined {
    return this.#lastId === undefined ? undefined : String(this.#lastId);
  }

  /** Starts to read the stream of another endpoint, which sends the incomplete event again. */
  resume(): void {
    this.#dropPartialEvent();
    this.#problem = undefined;
    this.#mayRepeat = true;
  }

  #dropPartialEvent(): void {
    this.#buffer = EMPTY;
    this.#partialBytes = 0;
  }

  push(chunk: Buffer): ScannedEvents {
    if (this.#problem !== undefined) return { bytes: EMPTY, lastId: this.lastId };
    let searchFrom = Math.max(0, this.#partialBytes - MAX_OVERLAP_BYTES);
    const bytes = this.#partialBytes > 0 ? this.#append(chunk) : chunk;
    const parts: Buffer[] = [];
    let idBeforeLast: number | undefined;
    let from = 0;
    for (
      let end = findEnd(bytes, searchFrom);
      end > 0 && this.#problem === undefined;
      end = findEnd(bytes, searchFrom)
    ) {
      const event = bytes.subarray(from, end);
      const idBefore = this.#lastId;
      from = end;
      searchFrom = end;
      if (this.#isNext(event)) {
        parts.push(event);
        idBeforeLast = idBefore;
      }
    }
    // Foreign bytes right after an event may have begun inside it.
    if (this.#problem !== undefined && parts.length > 0) {
      parts.pop();
      this.#lastId = idBeforeLast;
    }
    // The caller may still read the complete events from the buffer, so the rest moves to another one.
    if (from > 0 || bytes === chunk) this.#keep(bytes.subarray(from));
    this.#eventCount += parts.length;
    const whole = parts.length === 1 ? (parts[0] as Buffer) : Buffer.concat(parts);
    return { bytes: whole, lastId: this.lastId };
  }

  #keep(rest: Buffer): void {
    this.#dropPartialEvent();
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

  /** Whether a block is the next event to forward; records a problem if it is no event at all. */
  #isNext(block: Buffer): boolean {
    const event = decodeEvent(block);
    if (event.type === 'empty') return false;
    if (event.type === 'malformed') {
      this.#problem = event.reason;
      return false;
    }
    const isNew = this.#lastId === undefined || event.id > this.#lastId;
    if (isNew) {
      this.#lastId = event.id;
      this.#mayRepeat = false;
    } else if (!this.#mayRepeat) this.#problem = `id ${event.id} after ${this.#lastId}`;
    return isNew;
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
