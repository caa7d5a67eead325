import { mkdir, open, readFile, readdir, rename, rm, type FileHandle } from 'node:fs/promises';
import { join } from 'node:path';
import { Disk } from './Disk';

const TEMPORARY_SUFFIX = '.tmp';

async function syncFolder(folder: string): Promise<void> {
  const handle = await open(folder, 'r');
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
 * A folder of the file system. Files are synced before a call resolves, and the folder after a
 * file is created, renamed or removed. All calls are asynchronous and leave the event loop free.
 * @public
 */
export class FileDisk extends Disk {
  readonly #folder: string;

  /** The file that is appended to, kept open between calls. */
  #appended: { name: string; handle: FileHandle } | undefined;

  private constructor(folder: string) {
    super();
    this.#folder = folder;
  }

  /**
   * Opens a folder, which is created if missing; left-overs of interrupted replacements go.
   * @throws the error of the file system.
   */
  static async open(folder: string): Promise<FileDisk> {
    await mkdir(folder, { recursive: true });
    await syncFolder(join(folder, '..'));
    const disk = new FileDisk(folder);
    for (const name of await readdir(folder)) {
      if (name.endsWith(TEMPORARY_SUFFIX)) await rm(join(folder, name));
    }
    return disk;
  }

  override async list(): Promise<string[]> {
    return (await readdir(this.#folder)).sort();
  }

  override async read(name: string): Promise<Uint8Array> {
    return readFile(join(this.#folder, name));
  }

  override async append(name: string, bytes: Uint8Array): Promise<void> {
    const handle = await this.#openForAppend(name);
    await writeAll(handle, bytes);
    await handle.datasync();
  }

  override async replace(name: string, bytes: Uint8Array): Promise<void> {
    const path = join(this.#folder, name);
    const handle = await open(path + TEMPORARY_SUFFIX, 'w');
    try {
      await writeAll(handle, bytes);
      await handle.sync();
    } finally {
      await handle.close();
    }
    await rename(path + TEMPORARY_SUFFIX, path);
    await syncFolder(this.#folder);
  }

  override async truncate(name: string, length: number): Promise<void> {
    const handle = await open(join(this.#folder, name), 'r+');
    try {
      await handle.truncate(length);
      await handle.sync();
    } finally {
      await handle.close();
    }
  }

  override async remove(name: string): Promise<void> {
    await rm(join(this.#folder, name), { force: true });
    await syncFolder(this.#folder);
  }

  override async close(): Promise<void> {
    const appended = this.#appended;
    this.#appended = undefined;
    await appended?.handle.close();
  }

  async #openForAppend(name: string): Promise<FileHandle> {
    if (this.#appended?.name === name) return this.#appended.handle;
    await this.close();
    const handle = await open(join(this.#folder, name), 'a');
    this.#appended = { name, handle };
    await syncFolder(this.#folder);
    return handle;
  }
}
