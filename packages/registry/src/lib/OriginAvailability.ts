import type { Journal, Timer } from '@berylwood/base';
import { registryEvents } from './events';

/** Batches in a row that fail before the storage counts as unavailable. */
const MAX_FAILURES = 3;

/** Shortest time between two log lines, in milliseconds. */
const LOG_INTERVAL_MS = 10_000;

/**
 * Whether origins are stored on enough disks, judged by the recent writes. While they are not, new
 * streams do not wait for their write; the first write that succeeds ends this.
 * @internal
 */
export class OriginAvailability {
  readonly #timer: Timer;

  readonly #journal: Journal;

  #failures = 0;

  #isLoggedAsAvailable = true;

  #loggedAt = -Infinity;

  constructor(timer: Timer, journal: Journal) {
    this.#timer = timer;
    this.#journal = journal;
  }

  get isAvailable(): boolean {
    return this.#failures < MAX_FAILURES;
  }

  /** Adds the outcome of a batch of writes. */
  observe(isDurable: boolean): void {
    this.#failures = isDurable ? 0 : this.#failures + 1;
    const now = this.#timer.now();
    if (this.isAvailable === this.#isLoggedAsAvailable || now - this.#loggedAt < LOG_INTERVAL_MS)
      return;
    this.#isLoggedAsAvailable = this.isAvailable;
    this.#loggedAt = now;
    const event = this.isAvailable
      ? registryEvents.originsAvailable
      : registryEvents.originsUnavailable;
    this.#journal.record(event);
  }
}
