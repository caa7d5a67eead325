const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** Searches the ends of lines in a buffer: LF, CR LF and CR. Each byte is searched once for each of the two. @internal */
export class LineEnds {
  readonly #bytes: Buffer;

  /** Next position of each byte as far as it was searched; `Infinity` if there is none. */
  readonly #next = new Map([
    [LINE_FEED, -1],
    [CARRIAGE_RETURN, -1],
  ]);

  constructor(bytes: Buffer) {
    this.#bytes = bytes;
  }

  /** Returns the position after the first empty line that ends an event, or 0 if there is none. */
  findEventEnd(from: number): number {
    const bytes = this.#bytes;
    let at = this.#find(from);
    while (at < bytes.length) {
      const next = this.#skip(at);
      const isEmptyLine = bytes[next] === LINE_FEED || bytes[next] === CARRIAGE_RETURN;
      if (isEmptyLine) return this.#skip(next);
      at = this.#find(next);
    }
    return 0;
  }

  /** Position after the line end at a position. A CR at the end of the bytes counts as a whole one. */
  #skip(at: number): number {
    const bytes = this.#bytes;
    return bytes[at] === CARRIAGE_RETURN && bytes[at + 1] === LINE_FEED ? at + 2 : at + 1;
  }

  /** Position of the first line end; `Infinity` if there is none. */
  #find(from: number): number {
    return Math.min(this.#findByte(LINE_FEED, from), this.#findByte(CARRIAGE_RETURN, from));
  }

  #findByte(byte: number, from: number): number {
    const known = this.#next.get(byte) ?? -1;
    if (known >= from) return known;
    const found = this.#bytes.indexOf(byte, from);
    const next = found < 0 ? Infinity : found;
    this.#next.set(byte, next);
    return next;
  }
}
