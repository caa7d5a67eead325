/** Whole events of a stream, as found in what has arrived. @internal */
export interface ScannedEvents {
  /** Bytes of whole events, in order; empty if none is complete. */
  readonly bytes: Buffer;
  /** Id of the last whole event that has one. */
  readonly lastId: string | undefined;
}

const EMPTY = Buffer.alloc(0);
const LINE_FEED = 0x0a;

/**
 * Cuts a stream of server-sent events into whole events, so that a caller never gets a part of one
 * that its endpoint did not finish. Events that a resumed stream repeats are left out.
 * @internal
 */
export class EventScanner {
  #pending = EMPTY;

  #lastId: string | undefined;

  /** Whether bytes of an unfinished event have arrived. */
  get hasPartialEvent(): boolean {
    return this.#pending.length > 0;
  }

  get lastId(): string | undefined {
    return this.#lastId;
  }

  /** Drops the unfinished end, since another endpoint goes on. */
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

/** Position after the empty line that ends an event, or 0. */
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
