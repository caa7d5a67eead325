/**
 * The files of one replica, in one flat folder. A promise that resolves means that the change
 * survives a crash. One that rejects leaves the file unknown: the replica stops.
 * @public
 */
export abstract class Disk {
  /** Names of the files, sorted. */
  abstract list(): Promise<string[]>;

  /** The whole file. */
  abstract read(name: string): Promise<Uint8Array>;

  /** Appends to a file, which is created if missing. A crash may leave any part of the bytes. */
  abstract append(name: string, bytes: Uint8Array): Promise<void>;

  /** Replaces the whole file; a crash leaves either the old or the new content. */
  abstract replace(name: string, bytes: Uint8Array): Promise<void>;

  /** Cuts a file to the length in bytes. */
  abstract truncate(name: string, length: number): Promise<void>;

  /** Removes a file; one that is missing counts as removed. */
  abstract remove(name: string): Promise<void>;

  /** Releases what is held; no other call may follow. */
  abstract close(): Promise<void>;
}
