import type { Journal, Timer } from '@berylwood/base';
import { Disk } from './Disk';
import { consensusEvents } from './events';

/** Duration from which a write counts as slow, in milliseconds. @internal */
export const SLOW_WRITE_MS = 100;

/** Shortest time between two records, in milliseconds. */
const RECORD_INTERVAL_MS = 1000;

/** Records writes of another disk that take long to become durable. @internal */
export class TimedDisk extends Disk {
  readonly #disk: Disk;

  readonly #timer: Timer;

  readonly #journal: Journal;

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

  override list(): Promise<string[]> {
    return this.#disk.list();
  }

  override read(name: string): Promise<Uint8Array> {
    return this.#disk.read(name);
  }

  override append(name: string, bytes: Uint8Array): Promise<void> {
    return this.#measure(this.#disk.append(name, bytes));
  }

  override replace(name: string, bytes: Uint8Array): Promise<void> {
    return this.#measure(this.#disk.replace(name, bytes));
  }

  override truncate(name: string, length: number): Promise<void> {
    return this.#measure(this.#disk.truncate(name, length));
  }

  override remove(name: string): Promise<void> {
    return this.#measure(this.#disk.remove(name));
  }

  override close(): Promise<void> {
    return this.#disk.close();
  }

  async #measure(write: Promise<void>): Promise<void> {
    const startedAt = this.#timer.now();
    await write;
    const durationMs = this.#timer.now() - startedAt;
    if (durationMs < SLOW_WRITE_MS) return;
    this.#writes += 1;
    this.#longestMs = Math.max(this.#longestMs, durationMs);
    this.#record();
  }

  #record(): void {
    const now = this.#timer.now();
    if (now - this.#recordedAt < RECORD_INTERVAL_MS) return;
    this.#recordedAt = now;
    const fields = { writes: this.#writes, longestMs: Math.round(this.#longestMs) };
    this.#journal.record(consensusEvents.diskSlow, fields);
    this.#writes = 0;
    this.#longestMs = 0;
  }
}
