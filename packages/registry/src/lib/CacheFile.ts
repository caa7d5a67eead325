import { createHash } from 'node:crypto';
import { DisposableStore, type Journal, type Timer } from '@berylwood/base';
import type { Disk } from '@berylwood/consensus';
import { Packr, Unpackr } from 'msgpackr';
import type { z } from 'zod';
import { registryEvents } from './events';

const DIGEST_BYTES = 32;

/** Time after which a failed write is repeated, in milliseconds. */
const RETRY_DELAY_MS = 1000;

const packr = new Packr({ useRecords: false });
const unpackr = new Unpackr({ useRecords: false });

const digest = (bytes: Uint8Array): Buffer => createHash('sha256').update(bytes).digest();

interface CacheFileOptions<T> {
  readonly name: string;
  readonly schema: z.ZodType<T>;
  readonly openDisk: () => Promise<Disk>;
  readonly timer: Timer;
  readonly journal: Journal;
}

/** What was found in a cache file. @internal */
export interface CachedValue<T> {
  /** Undefined if the file is missing or damaged. */
  readonly value: T | undefined;
  /** Whether the file exists but its content is not usable. */
  readonly isDamaged: boolean;
}

/** Keeps the latest of several values in a file with a digest. @internal */
export class CacheFile<T> implements Disposable {
  readonly #options: CacheFileOptions<T>;

  readonly #store = new DisposableStore();

  #pending: T | undefined;

  #isWriting = false;

  /** Whether the latest write has failed, so that a repeated failure is not logged again. */
  #hasFailed = false;

  constructor(options: CacheFileOptions<T>) {
    this.#options = options;
  }

  async read(): Promise<CachedValue<T>> {
    const { name, schema, openDisk } = this.#options;
    try {
      const disk = await openDisk();
      const bytes = Buffer.from(await disk.read(name));
      const packed = bytes.subarray(DIGEST_BYTES);
      if (!digest(packed).equals(bytes.subarray(0, DIGEST_BYTES))) throw new Error('wrong digest');
      return { value: schema.parse(unpackr.unpack(packed)), isDamaged: false };
    } catch (error) {
      const isMissing = (error as NodeJS.ErrnoException).code === 'ENOENT';
      if (!isMissing) this.#logFailure(error);
      return { value: undefined, isDamaged: !isMissing };
    }
  }

  /**
   * Writes in the background. Of the values that arrive during a write, only the latest is written. A failed
   * write is repeated, since the file would remain older than what this instance has used.
   */
  write(value: T): void {
    this.#pending = value;
    if (!this.#isWriting) this.#writePending();
  }

  [Symbol.dispose](): void {
    this.#store[Symbol.dispose]();
  }

  async #writePending(): Promise<void> {
    const { name, openDisk, timer } = this.#options;
    this.#isWriting = true;
    while (this.#pending !== undefined) {
      const value = this.#pending;
      this.#pending = undefined;
      try {
        const packed = packr.pack(value);
        const disk = await openDisk();
        await disk.replace(name, Buffer.concat([digest(packed), packed]));
        this.#hasFailed = false;
      } catch (error) {
        if (!this.#hasFailed) this.#logFailure(error);
        this.#hasFailed = true;
        this.#pending ??= value;
        break;
      }
    }
    if (this.#pending === undefined) this.#isWriting = false;
    else this.#store.add(timer.after(RETRY_DELAY_MS, () => this.#writePending()));
  }

  #logFailure(error: unknown): void {
    const { name: file, journal } = this.#options;
    journal.record(registryEvents.cacheFailed, { file, error: String(error) });
  }
}
