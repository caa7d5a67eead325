/** Bytes that connections may hand to their parsers in one turn of the event loop. */
const TURN_BYTES = 16 * 1024;

/** Bytes of one slice at most: in chunks of one byte, it costs a parser some hundred callbacks. */
const SLICE_BYTES = 4 * 1024;

/** Bytes that a slice counts for at least, as each costs a call. */
const MIN_SLICE_COST = 256;

/** Time that a reader waits for a slice before the process counts as overloaded with reading, in milliseconds. */
const MAX_WAIT_MS = 2000;

/** A connection whose received bytes are read in turns. @public */
export abstract class ScheduledReader {
  /** Whether there is little to read before the peer can be answered. */
  abstract get isUrgent(): boolean;

  /** Whether received bytes may be read now. */
  abstract get isReadable(): boolean;

  /** Work that the peer's unfinished request has caused so far, in bytes. */
  abstract get cost(): number;

  /** Reads at most `maxBytes` received bytes; returns how many were read. */
  abstract readSlice(maxBytes: number): number;

  /** Ends the unfinished request, as the process is overloaded with reading. */
  abstract shed(): void;
}

/** A reader that waits for a slice, and since when. */
type Waiting = Map<ScheduledReader, number>;

/**
 * Shares the event loop among connections that have received bytes. Load pattern: many clients send bodies in chunks
 * of one byte, or many requests ahead, so that one read of each takes seconds. Each turn of the loop reads a
 * bounded number of bytes, in slices, one connection after the other. Connections with little to read come first;
 * of the others, at least one has a slice in each turn. If they wait too long for a slice, the costliest unfinished
 * request ends.
 * @public
 */
export class ReadScheduler {
  readonly #now: () => number;

  readonly #urgent: Waiting = new Map();

  readonly #bulk: Waiting = new Map();

  #leftBytes = TURN_BYTES;

  #isReading = false;

  #nextTurn: NodeJS.Immediate | undefined;

  /** @param now - monotonic time in milliseconds. */
  constructor(now: () => number) {
    this.#now = now;
  }

  /** Number of connections that wait for a slice. */
  get size(): number {
    return this.#urgent.size + this.#bulk.size;
  }

  /** Lets a reader read in turn; at once if this turn has bytes left. */
  add(reader: ScheduledReader): void {
    if (!reader.isReadable || this.#urgent.has(reader) || this.#bulk.has(reader)) return;
    this.#enqueue(reader);
    if (!this.#isReading && this.#leftBytes > 0) this.#readWaiting();
    this.#awaitTurn();
  }

  /** A reader has closed. */
  delete(reader: ScheduledReader): void {
    this.#urgent.delete(reader);
    this.#bulk.delete(reader);
  }

  #enqueue(reader: ScheduledReader): void {
    (reader.isUrgent ? this.#urgent : this.#bulk).set(reader, this.#now());
  }

  #awaitTurn(): void {
    if (this.size === 0 && this.#leftBytes === TURN_BYTES) return;
    this.#nextTurn ??= setImmediate(() => this.#beginTurn());
  }

  #beginTurn(): void {
    this.#nextTurn = undefined;
    this.#leftBytes = TURN_BYTES;
    this.#shedCostliest();
    const [reader] = this.#bulk.keys();
    if (reader) this.#readFrom(reader, this.#bulk);
    this.#readWaiting();
    this.#awaitTurn();
  }

  #readWaiting(): void {
    while (this.#leftBytes > 0) {
      const waiting = this.#urgent.size > 0 ? this.#urgent : this.#bulk;
      const [reader] = waiting.keys();
      if (!reader) return;
      this.#readFrom(reader, waiting);
    }
  }

  #readFrom(reader: ScheduledReader, waiting: Waiting): void {
    waiting.delete(reader);
    if (!reader.isReadable) return;
    const wasReading = this.#isReading;
    this.#isReading = true;
    try {
      const bytes = reader.readSlice(SLICE_BYTES);
      this.#leftBytes -= Math.max(MIN_SLICE_COST, bytes);
    } finally {
      this.#isReading = wasReading;
    }
    if (reader.isReadable) this.#enqueue(reader);
  }

  #shedCostliest(): void {
    const [first] = this.#bulk;
    if (!first || this.#now() - first[1] < MAX_WAIT_MS) return;
    let [costliest] = first;
    for (const reader of this.#bulk.keys()) if (reader.cost > costliest.cost) costliest = reader;
    this.delete(costliest);
    costliest.shed();
  }
}
