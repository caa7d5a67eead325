import type { SnapshotChunk } from './Message';

/** Gathers the parts of one snapshot of one leader; a part of another starts over. @internal */
export class SnapshotReceiver {
  #index = 0;

  /** Term of the leader that sends it. */
  #term = 0;

  #parts: Uint8Array[] = [];

  /** Bytes received so far: the offset of the part that is needed next. */
  receivedBytes = 0;

  /** Adds a part; returns the whole snapshot once it is complete. */
  add(term: number, chunk: SnapshotChunk): Uint8Array | undefined {
    if (chunk.index !== this.#index || term !== this.#term) {
      this.#clear();
      this.#index = chunk.index;
      this.#term = term;
    }
    if (chunk.offset !== this.receivedBytes) return undefined;
    this.#parts.push(chunk.data);
    this.receivedBytes += chunk.data.byteLength;
    if (this.receivedBytes < chunk.totalBytes) return undefined;
    const snapshot = Buffer.concat(this.#parts);
    this.#clear();
    return snapshot;
  }

  #clear(): void {
    this.#index = 0;
    this.#parts = [];
    this.receivedBytes = 0;
  }
}
