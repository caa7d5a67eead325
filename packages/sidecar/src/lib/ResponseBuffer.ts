/** Chunk of a response with the offset of its first byte. @internal */
export interface ResponseChunk {
  readonly offset: number;
  readonly bytes: Uint8Array;
  readonly tokens: number;
}

/** Buffers the chunks of a response that the entry has not acknowledged yet. @internal */
export class ResponseBuffer {
  #parts: ResponseChunk[] = [];

  #end = 0;

  #acknowledged = 0;

  /** Bytes of the response received so far. */
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

  /** Discards the chunks before the offset. */
  acknowledge(offset: number): void {
    this.#acknowledged = Math.max(this.#acknowledged, Math.min(offset, this.#end));
    while (this.#parts[0] && this.#parts[0].offset + this.#parts[0].bytes.length <= offset) {
      this.#parts.shift();
    }
  }

  /** Returns the buffered chunks from the offset on, or undefined if some were discarded. */
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
