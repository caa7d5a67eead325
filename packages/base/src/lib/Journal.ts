import pino, { type DestinationStream, type Logger } from 'pino';
import { HybridClock, type Stamp } from './HybridClock';
import type { Level, LogEvent } from './LogEvent';
import type { Timer } from './Timer';

/** One recorded event, as written to the log and shown on the timeline. @public */
export interface JournalRecord {
  readonly event: number;
  readonly name: string;
  readonly process: string;
  readonly incarnation: string;
  readonly stamp: Stamp;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Options of a journal. @public */
export interface JournalOptions {
  /** Name of the process on the timeline. */
  readonly process: string;
  readonly incarnation: string;
  readonly timer: Timer;
  readonly level?: Level | 'silent';
  /** Destination of log lines; standard error by default. */
  readonly destination?: DestinationStream;
  /** Number of records kept in memory for the timeline. */
  readonly capacity?: number;
}

const DEFAULT_CAPACITY = 2000;
const STANDARD_ERROR = 2;

/** Writes numbered events to the log and keeps the latest in memory for the timeline. @public */
export class Journal {
  readonly clock: HybridClock;

  readonly #options: JournalOptions;

  readonly #logger: Logger;

  #records: JournalRecord[] = [];

  constructor(options: JournalOptions) {
    this.#options = options;
    this.clock = new HybridClock(options.timer);
    this.#logger = pino(
      { level: options.level ?? 'info', base: undefined },
      options.destination ?? pino.destination({ dest: STANDARD_ERROR, sync: true }),
    );
  }

  /** Records one event. The fields must not contain secrets. */
  record(event: LogEvent, fields: Record<string, unknown> = {}): void {
    const { process, incarnation, capacity = DEFAULT_CAPACITY } = this.#options;
    const stamp = this.clock.tick();
    const record = { event: event.number, name: event.name, process, incarnation, stamp, fields };
    this.#records.push(record);
    if (this.#records.length > 2 * capacity) this.#records = this.#records.slice(-capacity);
    this.#logger[event.level]({ ...record }, event.name);
  }

  /** Returns the latest records, oldest first. */
  recent(): readonly JournalRecord[] {
    return this.#records.slice(-(this.#options.capacity ?? DEFAULT_CAPACITY));
  }
}

/** Creates a journal for tests that keeps records in memory and writes no log. @public */
export function createSilentJournal(timer: Timer, process = 'test'): Journal {
  return new Journal({ process, incarnation: 'test-1', timer, level: 'silent' });
}
