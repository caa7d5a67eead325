import { DisposableStore, type Journal, type Timer } from '@berylwood/base';
import { FileDisk } from '@berylwood/consensus';
import { z } from 'zod';
import { CacheFile } from './CacheFile';
import { evacuationStateSchema, type EvacuationState } from './EvacuationState';
import type { StoredConfiguration } from './RegistryMachine';

const configurationSchema = z.object({ version: z.int(), body: z.instanceof(Uint8Array) });

/** What an instance used before a restart. @internal */
export interface CachedState {
  readonly configuration: StoredConfiguration | undefined;
  readonly evacuations: EvacuationState | undefined;
}

/**
 * Stores the committed configuration and evacuations that were last applied on this instance. After a
 * restart they are used to serve requests while the replicas elect a leader. A damaged file fails its digest
 * and is treated as missing. They have a file each, since a configuration may have megabytes.
 * @internal
 */
export class StateCache implements Disposable {
  readonly #directory: string;

  readonly #store = new DisposableStore();

  readonly #configuration: CacheFile<StoredConfiguration>;

  readonly #evacuations: CacheFile<EvacuationState>;

  /** One disk for both files, since opening a disk removes the temporary files in its directory. */
  #disk: Promise<FileDisk> | undefined;

  constructor(directory: string, timer: Timer, journal: Journal) {
    this.#directory = directory;
    const parts = { timer, journal, openDisk: () => this.#openDisk() };
    this.#configuration = this.#store.add(
      new CacheFile<StoredConfiguration>({
        ...parts,
        name: 'configuration.cache',
        schema: configurationSchema,
      }),
    );
    this.#evacuations = this.#store.add(
      new CacheFile<EvacuationState>({
        ...parts,
        name: 'evacuations.cache',
        schema: evacuationStateSchema,
      }),
    );
  }

  /**
   * Reads both. If the evacuations are damaged, the configuration is not used either: without them, requests
   * would reach data centres that are evacuated.
   */
  async read(): Promise<CachedState> {
    const evacuations = await this.#evacuations.read();
    if (evacuations.isDamaged) return { configuration: undefined, evacuations: undefined };
    const configuration = await this.#configuration.read();
    return { configuration: configuration.value, evacuations: evacuations.value };
  }

  writeConfiguration(configuration: StoredConfiguration): void {
    this.#configuration.write(configuration);
  }

  writeEvacuations(evacuations: EvacuationState): void {
    this.#evacuations.write(evacuations);
  }

  [Symbol.dispose](): void {
    this.#store[Symbol.dispose]();
  }

  async #openDisk(): Promise<FileDisk> {
    const opened = this.#disk ?? FileDisk.open(this.#directory);
    this.#disk = opened;
    try {
      return await opened;
    } catch (error) {
      if (this.#disk === opened) this.#disk = undefined;
      throw error;
    }
  }
}
