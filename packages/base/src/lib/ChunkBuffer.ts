/** Size of a segment into which small chunks are merged, in bytes. */
const SEGMENT_BYTES = 16 * 1024;

/** Memory of a buffer besides its bytes, about, in bytes. */
const OVERHEAD_BYTES = 128;

/** Collects the chunks of a body and merges small ones, since a buffer for one byte costs about a hundred. @public */
export class ChunkBuffer {
  #segments: Buffer[] = [];

  /** Segment that still has space; its bytes up to `#used` belong to the body. */
  #tail: Buffer | undefined;

  #used = 0;

  #length = 0;

  #heldBytes = 0;

  /** Bytes of the body so far. */
  get length(): number {
    return this.#length;
  }

  /** Memory that the body takes, in bytes. */
  get heldBytes(): number {
    return this.#heldBytes;
  }

  push(chunk: Buffer): void {
    this.#length += chunk.length;
    const rest = this.#fillTail(chunk);
    if (rest.length === 0) return;
    // Most bodies arrive in one chunk, which needs no copy.
    if (rest.length >= SEGMENT_BYTES || this.#segments.length === 0) {
      this.#add(rest, rest.length);
      return;
    }
    const segment = Buffer.allocUnsafeSlow(SEGMENT_BYTES);
    this.#add(segment, segment.length);
    this.#tail = segment;
    this.#used = rest.copy(segment);
  }

  /** Returns the body and forgets it. */
  take(): Buffer {
    const segments = this.#segments;
    if (this.#tail) segments[segments.length - 1] = this.#tail.subarray(0, this.#used);
    this.clear();
    const [only] = segments;
    return segments.length === 1 && only ? only : Buffer.concat(segments);
  }

  clear(): void {
    this.#segments = [];
    this.#tail = undefined;
    this.#used = 0;
    this.#length = 0;
    this.#heldBytes = 0;
  }

  #add(segment: Buffer, bytes: number): void {
    this.#segments.push(segment);
    this.#heldBytes += bytes + OVERHEAD_BYTES;
  }

  /** Copies as much of a chunk into the last segment as fits, and returns the rest. */
  #fillTail(chunk: Buffer): Buffer {
    if (!this.#tail) return chunk;
    const copied = chunk.copy(this.#tail, this.#used);
    this.#used += copied;
    if (this.#used === this.#tail.length) this.#tail = undefined;
    return chunk.subarray(copied);
  }
}
