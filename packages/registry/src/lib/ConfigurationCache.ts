import { createHash } from 'node:crypto';
import type { Journal } from '@berylwood/base';
import { FileDisk } from '@berylwood/consensus';
import { Packr, Unpackr } from 'msgpackr';
import { registryEvents } from './events';
import type { StoredConfiguration } from './RegistryMachine';

const FILE_NAME = 'configuration.cache';
const DIGEST_BYTES = 32;

const packr = new Packr({ useRecords: false });
const unpackr = new Unpackr({ useRecords: false });

const digest = (bytes: Uint8Array): Buffer => createHash('sha256').update(bytes).digest();

/**
 * Stores the committed configuration that was last applied on this instance in a file of its own.
 * After a restart it is used to serve requests while the replicas elect a leader. A damaged file
 * fails its digest and is treated as missing.
 * @internal
 */
export class ConfigurationCache {
  readonly #directory: string;

  #disk: FileDisk | undefined;

  readonly #journal: Journal;

  #pending: StoredConfiguration | undefined;

  #isWriting = false;

  constructor(directory: string, journal: Journal) {
    this.#directory = directory;
    this.#journal = journal;
  }

  async read(): Promise<StoredConfiguration | undefined> {
    try {
      const disk = await this.#open();
      const bytes = Buffer.from(await disk.read(FILE_NAME));
      const packed = bytes.subarray(DIGEST_BYTES);
      if (!digest(packed).equals(bytes.subarray(0, DIGEST_BYTES))) return undefined;
      return unpackr.unpack(packed) as StoredConfiguration;
    } catch (error) {
      const isMissing = (error as NodeJS.ErrnoException).code === 'ENOENT';
      if (!isMissing) this.#journal.record(registryEvents.cacheFailed, { error: String(error) });
      return undefined;
    }
  }

  /**
   * Writes in the background. Of the configurations that arrive during a write, only the latest is
   * written.
   */
  write(configuration: StoredConfiguration): void {
    this.#pending = configuration;
    if (!this.#isWriting) this.#writePending();
  }

  async #writePending(): Promise<void> {
    this.#isWriting = true;
    try {
      while (this.#pending) {
        const packed = packr.pack(this.#pending);
        this.#pending = undefined;
        const disk = await this.#open();
        await disk.replace(FILE_NAME, Buffer.concat([digest(packed), packed]));
      }
    } catch (error) {
      this.#journal.record(registryEvents.cacheFailed, { error: String(error) });
    }
    this.#isWriting = false;
  }

  async #open(): Promise<FileDisk> {
    this.#disk ??= await FileDisk.open(this.#directory);
    return this.#disk;
  }
}
