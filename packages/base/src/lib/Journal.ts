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

/** Records beyond the capacity after which the oldest are removed together, as a multiple of the capacity. */
const SLACK_FACTOR = 1.25;

/** Longest text of a field that is recorded, in characters: callers choose ids and paths. */
const MAX_TEXT_LENGTH = 512;

/** Cuts long texts, as records are kept. */
function shorten(fields: Readonly<Record<string, unknown>>): Readonly<Record<string, unknown>> {
  const isLong = (value: unknown): value is string =>
    typeof value === 'string' && value.length > MAX_TEXT_LENGTH;
  if (!Object.values(fields).some(isLong)) return fields;
  // A copy of the bytes, since a part of a string keeps the whole one in memory.
  const cut = (text: string): string =>
    Buffer.from(`${text.slice(0, MAX_TEXT_LENGTH)}…`).toString();
  const entries = Object.entries(fields).map(([name, value]) => [
    name,
    isLong(value) ? cut(value) : value,
  ]);
  return Object.fromEntries(entries) as Record<string, unknown>;
}

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

  /** Records one event; long texts are cut. The fields must not contain secrets. */
  record(event: LogEvent, fields: Record<string, unknown> = {}): void {
    const { process, incarnation, capacity = DEFAULT_CAPACITY } = this.#options;
    const stamp = this.clock.tick();
    const { number, name } = event;
    const kept = shorten(fields);
    const record = { event: number, name, process, incarnation, stamp, fields: kept };
    this.#records.push(record);
    if (this.#records.length > capacity * SLACK_FACTOR) {
      this.#records = this.#records.slice(-capacity);
    }
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
