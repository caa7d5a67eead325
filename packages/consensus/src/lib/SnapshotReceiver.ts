import type { SnapshotChunk } from './Message';

/**
 * Assembles the chunks of a snapshot. A chunk of another snapshot or leader restarts it.
 * @internal
 */
export class SnapshotReceiver {
  #index = 0;

  /** Term of the leader that sends the snapshot. */
  #term = 0;

  #parts: Uint8Array[] = [];

  /** Bytes received so far, which is the offset of the next chunk needed. */
  receivedBytes = 0;

  /** Adds a chunk; returns the snapshot once it is complete. */
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
