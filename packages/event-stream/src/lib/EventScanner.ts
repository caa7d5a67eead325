import { decodeEvent } from './decodeEvent';
import type { EventOrder } from './EventOrder';
import { LineEnds } from './LineEnds';

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
const COLON = 0x3a;

/** Mark at the start of a stream, which its reader drops. */
const BYTE_ORDER_MARK = Buffer.from('\ufeff');

/** Bytes at the end of a partial event that may begin the empty line after it. */
const MAX_OVERLAP_BYTES = 2;

/** Smallest buffer for a partial event, in bytes. */
const MIN_BUFFER_BYTES = 512;

/**
 * Splits a stream of server-sent events into complete events, so that a caller never receives part of an
 * event that the endpoint did not finish. Lines end as for a caller's reader: with LF, CR LF or CR. Blocks without
 * an event and events that a resumed stream repeats are dropped. Nothing is read after a block that is no event, or
 * that cannot follow the events before it. The cost is linear in the bytes received, however an endpoint splits an
 * event.
 * @public
 */
export class EventScanner {
  readonly #order: EventOrder;

  /** Buffer whose first `#partialBytes` bytes are the partial event. */
  #buffer = EMPTY;

  #partialBytes = 0;

  /** Whether no block of the endpoint's stream was read yet. */
  #isAtStart = true;

  /** Whether the last event was forwarded up to a CR, whose LF may follow. */
  #endsWithCarriageReturn = false;

  #problem: string | undefined;

  #eventCount = 0;

  constructor(order: EventOrder) {
    this.#order = order;
  }

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

  /** Whether there is an incomplete event; complete comments and the ends of lines after an event are none. */
  get hasPartialEvent(): boolean {
    const partial = this.#buffer.subarray(0, this.#partialBytes);
    let isLineStart = true;
    let isComment = false;
    for (const byte of partial) {
      const isLineEnd = byte === LINE_FEED || byte === CARRIAGE_RETURN;
      if (isLineStart && !isLineEnd && byte !== COLON) return true;
      if (isLineStart) isComment = byte === COLON;
      isLineStart = isLineEnd;
    }
    return isComment && !isLineStart;
  }

  get lastId(): string | undefined {
    return this.#order.lastId;
  }

  /** Starts to read the stream of another endpoint, which sends the incomplete event again. */
  resume(): void {
    this.#dropPartialEvent();
    this.#problem = undefined;
    this.#isAtStart = true;
    this.#endsWithCarriageReturn = false;
    this.#order.resume();
  }

  /** Returns the LF that completes the end of the last event, if the received bytes begin with it. */
  #takeLineFeed(chunk: Buffer): Buffer {
    if (chunk.length === 0) return EMPTY;
    const hasLineFeed = this.#endsWithCarriageReturn && chunk[0] === LINE_FEED;
    this.#endsWithCarriageReturn = false;
    return hasLineFeed ? chunk.subarray(0, 1) : EMPTY;
  }

  #dropPartialEvent(): void {
    this.#buffer = EMPTY;
    this.#partialBytes = 0;
  }

  push(received: Buffer): ScannedEvents {
    if (this.#problem !== undefined) return { bytes: EMPTY, lastId: this.lastId };
    const lineFeed = this.#takeLineFeed(received);
    const chunk = received.subarray(lineFeed.length);
    let searchFrom = Math.max(0, this.#partialBytes - MAX_OVERLAP_BYTES);
    const bytes = this.#partialBytes > 0 ? this.#append(chunk) : chunk;
    const parts: Buffer[] = [];
    let from = 0;
    const lineEnds = new LineEnds(bytes);
    for (
      let end = lineEnds.findEventEnd(searchFrom);
      end > 0 && this.#problem === undefined;
      end = lineEnds.findEventEnd(searchFrom)
    ) {
      const block = withoutBlankLines(this.#withoutMark(bytes.subarray(from, end)));
      const event = withCommonLineEnds(block);
      from = end;
      searchFrom = end;
      const isNext = this.#isNext(event);
      if (isNext) parts.push(event);
      this.#endsWithCarriageReturn =
        isNext && end === bytes.length && event.at(-1) === CARRIAGE_RETURN;
    }
    // Foreign bytes right after an event may have begun inside it.
    if (this.#problem !== undefined && parts.length > 0) {
      parts.pop();
      this.#order.withdraw();
    }
    // The caller may still read the complete events from the buffer, so the rest moves to another one.
    if (from > 0 || bytes === chunk) this.#keep(bytes.subarray(from));
    this.#eventCount += parts.length;
    if (lineFeed.length > 0) parts.unshift(lineFeed);
    const whole = parts.length === 1 ? (parts[0] as Buffer) : Buffer.concat(parts);
    return { bytes: whole, lastId: this.lastId };
  }

  /** Drops the mark at the start of an endpoint's stream, which may be resumed within the caller's. */
  #withoutMark(block: Buffer): Buffer {
    if (!this.#isAtStart) return block;
    this.#isAtStart = false;
    const { length } = BYTE_ORDER_MARK;
    return block.subarray(0, length).equals(BYTE_ORDER_MARK) ? block.subarray(length) : block;
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
    const position = this.#order.place(event.id);
    if (position.type === 'foreign') this.#problem = position.reason;
    return position.type === 'next';
  }
}

/**
 * Ends lines with LF where a CR alone does, as some readers know no other end. A CR at the end of a block whose lines
 * end with CR LF is left, since its LF may follow.
 */
function withCommonLineEnds(block: Buffer): Buffer {
  if (!block.includes(CARRIAGE_RETURN)) return block;
  const text = block.toString('latin1');
  const isBeforeLineFeed = text.endsWith('\r\n\r');
  const lines = isBeforeLineFeed ? text.slice(0, -1) : text;
  const common = lines.replace(/\r(?!\n)/g, '\n');
  return Buffer.from(isBeforeLineFeed ? `${common}\r` : common, 'latin1');
}

/** Drops the blank lines before an event, which some readers take for the end of another one. */
function withoutBlankLines(block: Buffer): Buffer {
  const start = block.findIndex((byte) => byte !== LINE_FEED && byte !== CARRIAGE_RETURN);
  return start > 0 ? block.subarray(start) : block;
}
