import { createHash } from 'node:crypto';
import type { Journal } from '@berylwood/base';
import { FileDisk } from '@berylwood/consensus';
import { Packr, Unpackr } from 'msgpackr';
import { registryEvents } from './events';
import type { StoredConfiguration } from './RegistryMachine';

const FILE = 'configuration.cache';
const DIGEST_BYTES = 32;

const packr = new Packr({ useRecords: false });
const unpackr = new Unpackr({ useRecords: false });

const digest = (bytes: Uint8Array): Buffer => createHash('sha256').update(bytes).digest();

/**
 * The committed configuration that was last in force here, in a file of its own. After a restart it
 * serves requests while the replicas elect a leader. A file that is damaged fails its digest and
 * counts as missing.
 * @internal
 */
export class ConfigurationCache {
  readonly #folder: string;

  #disk: FileDisk | undefined;

  readonly #journal: Journal;

  #next: StoredConfiguration | undefined;

  #isWriting = false;

  constructor(folder: string, journal: Journal) {
    this.#folder = folder;
    this.#journal = journal;
  }

  async read(): Promise<StoredConfiguration | undefined> {
    try {
      const disk = await this.#open();
      const bytes = Buffer.from(await disk.read(FILE));
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
        const disk = await this.#open();
        await disk.replace(FILE, Buffer.concat([digest(packed), packed]));
      }
    } catch (error) {
      this.#journal.record(registryEvents.cacheFailed, { error: String(error) });
    }
    this.#isWriting = false;
  }

  async #open(): Promise<FileDisk> {
    this.#disk ??= await FileDisk.open(this.#folder);
    return this.#disk;
  }
}
