import { createHash } from 'node:crypto';
import { open, readFile, rename } from 'node:fs/promises';
import type { Journal } from '@berylwood/base';
import { Packr, Unpackr } from 'msgpackr';
import { registryEvents } from './events';
import type { StoredConfiguration } from './RegistryMachine';

const TEMPORARY_SUFFIX = '.tmp';
const DIGEST_BYTES = 32;

const packr = new Packr({ useRecords: false });
const unpackr = new Unpackr({ useRecords: false });

const digest = (bytes: Uint8Array): Buffer => createHash('sha256').update(bytes).digest();

/**
 * The committed configuration that was last in force here, in a file of its own. After a restart it
 * serves requests while the replicas elect a leader. A file that a loss of power has torn
 * fails its digest and counts as missing.
 * @internal
 */
export class ConfigurationCache {
  readonly #file: string;

  readonly #journal: Journal;

  #next: StoredConfiguration | undefined;

  #isWriting = false;

  constructor(file: string, journal: Journal) {
    this.#file = file;
    this.#journal = journal;
  }

  async read(): Promise<StoredConfiguration | undefined> {
    try {
      const bytes = await readFile(this.#file);
      const packed = bytes.subarray(DIGEST_BYTES);
      if (!digest(packed).equals(bytes.subarray(0, DIGEST_BYTES))) return undefined;
      return unpackr.unpack(packed) as StoredConfiguration;
    } catch (error) {
      const isMissing = (error as NodeJS.ErrnoException).code === 'ENOENT';
      if (!isMissing) this.#journal.record(registryEvents.cacheFailed, { error: String(error) });
      return undefined;
    }
  }

  /** Writes without holding anyone up; of several configurations the latest is written. */
  write(configuration: StoredConfiguration): void {
    this.#next = configuration;
    if (!this.#isWriting) this.#writeNext();
  }

  async #writeNext(): Promise<void> {
    this.#isWriting = true;
    try {
      while (this.#next) {
        const packed = packr.pack(this.#next);
        this.#next = undefined;
        const temporary = this.#file + TEMPORARY_SUFFIX;
        const handle = await open(temporary, 'w');
        try {
          await handle.writeFile(Buffer.concat([digest(packed), packed]));
          await handle.sync();
        } finally {
          await handle.close();
        }
        await rename(temporary, this.#file);
      }
    } catch (error) {
      this.#journal.record(registryEvents.cacheFailed, { error: String(error) });
    }
    this.#isWriting = false;
  }
}
