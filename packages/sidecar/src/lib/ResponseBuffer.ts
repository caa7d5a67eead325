/** A part of an answer with the offset of its first byte. @internal */
export interface ResponseChunk {
  readonly offset: number;
  readonly bytes: Uint8Array;
  readonly tokens: number;
}

/** The part of an answer that the entry has not acknowledged yet. @internal */
export class ResponseBuffer {
  #parts: ResponseChunk[] = [];

  #end = 0;

  #acknowledged = 0;

  /** Length of the answer so far, in bytes. */
  get end(): number {
    return this.#end;
  }

  get unacknowledgedBytes(): number {
    return this.#end - this.#acknowledged;
  }

  append(bytes: Uint8Array, tokens: number): ResponseChunk {
    const part = { offset: this.#end, bytes, tokens };
    this.#parts.push(part);
    this.#end += bytes.length;
    return part;
  }

  /** Forgets what lies before the offset. */
  acknowledge(offset: number): void {
    this.#acknowledged = Math.max(this.#acknowledged, Math.min(offset, this.#end));
    while (this.#parts[0] && this.#parts[0].offset + this.#parts[0].bytes.length <= offset) {
      this.#parts.shift();
    }
  }

  /** What is kept from the offset on; undefined when some of it was forgotten. */
  from(offset: number): ResponseChunk[] | undefined {
    if (offset < this.#acknowledged || offset > this.#end) return undefined;
    return this.#parts
      .filter((part) => part.offset + part.bytes.length > offset)
      .map((part) => {
        const skip = Math.max(0, offset - part.offset);
        return { ...part, offset: part.offset + skip, bytes: part.bytes.subarray(skip) };
      });
  }
}
