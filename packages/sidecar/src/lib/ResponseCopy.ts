/** Maximum size of a body in the stored outcome of a call; a larger body is left out. */
const MAX_BODY_BYTES = 64 * 1024;

/** Copy of a response, for the stored outcome of a call that must not run twice. @internal */
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

  /** The body; empty if it was larger than the maximum. */
  get body(): Uint8Array {
    return Buffer.concat(this.#chunks);
  }
}
