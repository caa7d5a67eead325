import type { Journal, Timer } from '@berylwood/base';
import { Disk } from './Disk';
import { consensusEvents } from './events';

/** Duration from which a write counts as slow, in milliseconds. @internal */
export const SLOW_WRITE_MS = 100;

/** Shortest time between two records, in milliseconds. */
const RECORD_INTERVAL_MS = 1000;

/** Measures the writes of another disk until they are durable, and records those that take long. @internal */
export class TimedDisk extends Disk {
  readonly #disk: Disk;

  readonly #timer: Timer;

  readonly #journal: Journal;

  #replaceMs = 0;

  #recordedAt = -Infinity;

  /** Slow writes since the last record, and the longest of them. */
  #writes = 0;

  #longestMs = 0;

  constructor(disk: Disk, timer: Timer, journal: Journal) {
    super();
    this.#disk = disk;
    this.#timer = timer;
    this.#journal = journal;
  }

  /**
   * Time that replacing a file takes, by the latest write, in milliseconds; 0 before the first. A replacement syncs the
   * file and its directory, and an append the file alone.
   */
  get replaceMs(): number {
    return this.#replaceMs;
  }

  override list(): Promise<string[]> {
    return this.#disk.list();
  }

  override read(name: string): Promise<Uint8Array> {
    return this.#disk.read(name);
  }

  override async append(name: string, bytes: Uint8Array): Promise<void> {
    this.#replaceMs = 2 * (await this.#measure(this.#disk.append(name, bytes)));
  }

  override async replace(name: string, bytes: Uint8Array): Promise<void> {
    this.#replaceMs = await this.#measure(this.#disk.replace(name, bytes));
  }

  override async truncate(name: string, length: number): Promise<void> {
    await this.#measure(this.#disk.truncate(name, length));
  }

  override async remove(name: string): Promise<void> {
    await this.#measure(this.#disk.remove(name));
  }

  override close(): Promise<void> {
    return this.#disk.close();
  }

  async #measure(write: Promise<void>): Promise<number> {
    const startedAt = this.#timer.now();
    await write;
    const durationMs = this.#timer.now() - startedAt;
    if (durationMs >= SLOW_WRITE_MS) this.#record(durationMs);
    return durationMs;
  }

  #record(durationMs: number): void {
    this.#writes += 1;
    this.#longestMs = Math.max(this.#longestMs, durationMs);
    const now = this.#timer.now();
    if (now - this.#recordedAt < RECORD_INTERVAL_MS) return;
    this.#recordedAt = now;
    const fields = { writes: this.#writes, longestMs: Math.round(this.#longestMs) };
    this.#journal.record(consensusEvents.diskSlow, fields);
    this.#writes = 0;
    this.#longestMs = 0;
  }
}
