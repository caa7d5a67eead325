/**
 * The files of one replica, in one flat directory. Once a promise resolves, the change survives a
 * crash. If it rejects, the content of the file is unknown and the replica stops.
 * @public
 */
export abstract class Disk {
  /** Names of the files, sorted. */
  abstract list(): Promise<string[]>;

  /** Returns the complete content of a file. */
  abstract read(name: string): Promise<Uint8Array>;

  /** Appends to a file, creating it if missing. A crash may leave any part of the bytes. */
  abstract append(name: string, bytes: Uint8Array): Promise<void>;

  /** Replaces a file atomically: a crash leaves either the old or the new content. */
  abstract replace(name: string, bytes: Uint8Array): Promise<void>;

  /** Truncates a file to a length in bytes. */
  abstract truncate(name: string, length: number): Promise<void>;

  /** Removes a file; a missing file is not an error. */
  abstract remove(name: string): Promise<void>;

  /** Releases all resources; no other call may follow. */
  abstract close(): Promise<void>;
}
