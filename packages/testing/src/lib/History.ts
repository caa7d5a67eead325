import { closeSync, openSync, writeSync } from 'node:fs';

/** One thing that a stand-in saw, in the order in which it saw it. @public */
export interface HistoryRecord {
  /** Wall-clock time in milliseconds. */
  readonly at: number;
  readonly kind: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Records kept in memory at most, so that a long run stays within its memory. */
const CAPACITY = 200_000;

/** What a stand-in saw, for the checkers. @public */
export class History implements Disposable {
  readonly #records: HistoryRecord[] = [];

  readonly #descriptor: number | undefined;

  /** @param file - appended to as JSON lines, so that the history outlives the process. */
  constructor(file?: string) {
    this.#descriptor = file === undefined ? undefined : openSync(file, 'a');
  }

  get records(): readonly HistoryRecord[] {
    return this.#records;
  }

  add(kind: string, fields: Record<string, unknown> = {}): void {
    const record = { at: Date.now(), kind, fields };
    if (this.#records.length < CAPACITY) this.#records.push(record);
    if (this.#descriptor !== undefined) writeSync(this.#descriptor, `${JSON.stringify(record)}\n`);
  }

  [Symbol.dispose](): void {
    if (this.#descriptor !== undefined) closeSync(this.#descriptor);
  }
}
