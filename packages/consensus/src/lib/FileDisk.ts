import { mkdir, open, readFile, readdir, rename, rm, type FileHandle } from 'node:fs/promises';
import { join } from 'node:path';
import { Disk } from './Disk';

const TEMPORARY_SUFFIX = '.tmp';

async function syncDirectory(directory: string): Promise<void> {
  const handle = await open(directory, 'r');
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
}

async function writeAll(handle: FileHandle, bytes: Uint8Array): Promise<void> {
  let offset = 0;
  while (offset < bytes.byteLength) {
    const { bytesWritten } = await handle.write(bytes, offset, bytes.byteLength - offset);
    offset += bytesWritten;
  }
}

/**
 * Disk in a directory of the file system. Files are synced before a call resolves, and so is the
 * directory after a file is created, renamed or removed. No call blocks the event loop.
 * @public
 */
export class FileDisk extends Disk {
  readonly #directory: string;

  /** File opened for appending, kept open between calls. */
  #openFile: { name: string; handle: FileHandle } | undefined;

  private constructor(directory: string) {
    super();
    this.#directory = directory;
  }

  /**
   * Opens a directory, creating it if missing, and removes temporary files of interrupted
   * replacements.
   * @throws the error of the file system.
   */
  static async open(directory: string): Promise<FileDisk> {
    await mkdir(directory, { recursive: true });
    await syncDirectory(join(directory, '..'));
    const disk = new FileDisk(directory);
    for (const name of await readdir(directory)) {
      if (name.endsWith(TEMPORARY_SUFFIX)) await rm(join(directory, name));
    }
    return disk;
  }

  override async list(): Promise<string[]> {
    return (await readdir(this.#directory)).sort();
  }

  override async read(name: string): Promise<Uint8Array> {
    return readFile(join(this.#directory, name));
  }

  override async append(name: string, bytes: Uint8Array): Promise<void> {
    const handle = await this.#openForAppend(name);
    await writeAll(handle, bytes);
    await handle.datasync();
  }

  override async replace(name: string, bytes: Uint8Array): Promise<void> {
    const path = join(this.#directory, name);
    const handle = await open(path + TEMPORARY_SUFFIX, 'w');
    try {
      await writeAll(handle, bytes);
      await handle.sync();
    } finally {
      await handle.close();
    }
    await rename(path + TEMPORARY_SUFFIX, path);
    await syncDirectory(this.#directory);
  }

  override async truncate(name: string, length: number): Promise<void> {
    const handle = await open(join(this.#directory, name), 'r+');
    try {
      await handle.truncate(length);
      await handle.sync();
    } finally {
      await handle.close();
    }
  }

  override async remove(name: string): Promise<void> {
    await rm(join(this.#directory, name), { force: true });
    await syncDirectory(this.#directory);
  }

  override async close(): Promise<void> {
    const openFile = this.#openFile;
    this.#openFile = undefined;
    await openFile?.handle.close();
  }

  async #openForAppend(name: string): Promise<FileHandle> {
    if (this.#openFile?.name === name) return this.#openFile.handle;
    await this.close();
    const handle = await open(join(this.#directory, name), 'a');
    this.#openFile = { name, handle };
    await syncDirectory(this.#directory);
    return handle;
  }
}
