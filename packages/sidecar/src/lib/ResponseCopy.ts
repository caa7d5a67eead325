/** Longest body kept for the stored outcome of a call; a longer one is left out. */
const MAX_BODY_BYTES = 64 * 1024;

/** Copy of a whole answer, for the stored outcome of a call that may not be repeated. @internal */
export class ResponseCopy {
  status = 0;

  headers: Record<string, string> = {};

  #chunks: Uint8Array[] = [];

  #length = 0;

  head(status: number, headers: Record<string, string>): void {
    this.status = status;
    this.headers = headers;
  }

  append(bytes: Uint8Array): void {
    this.#length += bytes.length;
    if (this.#length > MAX_BODY_BYTES) this.#chunks = [];
    else this.#chunks.push(bytes);
  }

  /** The body, or nothing when it was too long to be kept. */
  get body(): Uint8Array {
    return Buffer.concat(this.#chunks);
  }
}
