/** One thing that a stand-in saw, in the order in which it saw it. @public */
export interface HistoryRecord {
  /** Wall-clock time in milliseconds. */
  readonly at: number;
  readonly kind: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Records kept at most, so that a long run stays within its memory. */
const CAPACITY = 200_000;

/** What a stand-in saw, for the checkers. @public */
export class History {
  readonly #records: HistoryRecord[] = [];

  get records(): readonly HistoryRecord[] {
    return this.#records;
  }

  add(kind: string, fields: Record<string, unknown> = {}): void {
    if (this.#records.length >= CAPACITY) return;
    this.#records.push({ at: Date.now(), kind, fields });
  }
}
