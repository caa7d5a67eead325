import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setImmediate as nextTurn } from 'node:timers/promises';
import { ReadScheduler, ScheduledReader } from './ReadScheduler';

const KIB = 1024;

/** A reader with a number of received bytes, which notes what it reads. */
class FakeReader extends ScheduledReader {
  isUrgent = false;

  cost = 0;

  isShed = false;

  reads = 0;

  readonly #name: string;

  readonly #log: string[];

  #left: number;

  constructor(name: string, bytes: number, log: string[]) {
    super();
    this.#name = name;
    this.#left = bytes;
    this.#log = log;
  }

  get isReadable(): boolean {
    return this.#left > 0;
  }

  override readSlice(maxBytes: number): number {
    const bytes = Math.min(maxBytes, this.#left);
    this.#left -= bytes;
    this.cost += bytes;
    this.reads += 1;
    this.#log.push(this.#name);
    return bytes;
  }

  override shed(): void {
    this.isShed = true;
    this.#left = 0;
  }
}

function createScheduler() {
  const clock = { now: 0 };
  const log: string[] = [];
  const scheduler = new ReadScheduler(() => clock.now);
  const add = (name: string, bytes: number, isUrgent = false): FakeReader => {
    const reader = new FakeReader(name, bytes, log);
    reader.isUrgent = isUrgent;
    scheduler.add(reader);
    return reader;
  };
  return { clock, log, scheduler, add };
}

// Guards against a turn of the event loop that reads all that has arrived.
test('a turn reads a bounded number of bytes, from one reader after the other', async () => {
  const { log, add } = createScheduler();
  const readers = Array.from({ length: 100 }, (_, number) => add(`${number}`, 64 * KIB));
  for (let turn = 1; turn <= 50; turn += 1) {
    assert.ok(log.length <= 5 * (turn + 1), `${log.length} slices after ${turn} turns`);
    await nextTurn();
  }
  // The first one was alone in its turn.
  const counts = readers.slice(1).map(({ reads }) => reads);
  assert.ok(Math.max(...counts) - Math.min(...counts) <= 1);
});

// Guards against callers with little to read that wait behind a crowd.
test('readers with little to read come first, and one of the others in each turn', async () => {
  const { log, add } = createScheduler();
  for (let number = 0; number < 10; number += 1) add('bulk', 640 * KIB);
  await nextTurn();
  log.length = 0;
  for (let number = 0; number < 3; number += 1) add('urgent', 100, true);
  await nextTurn();
  await nextTurn();
  assert.equal(log.filter((name) => name === 'urgent').length, 3);
  assert.ok(log.indexOf('urgent') <= 5);
  log.length = 0;
  for (let number = 0; number < 400; number += 1) add('urgent', 4 * KIB, true);
  for (let turn = 0; turn < 8; turn += 1) await nextTurn();
  assert.ok(log.filter((name) => name === 'bulk').length >= 7);
});

// Guards against small requests that cost a turn as much as their number.
test('slices of few bytes count, too', async () => {
  const { log, add } = createScheduler();
  for (let number = 0; number < 1000; number += 1) add(`${number}`, 1, true);
  assert.ok(log.length <= 64);
  await nextTurn();
});

// Guards against a process that is overloaded with reading for as long as its clients go on.
test('the costliest request ends when readers wait too long for a slice', async () => {
  const { clock, add } = createScheduler();
  const readers = Array.from({ length: 50 }, (_, number) => add(`${number}`, 640 * KIB));
  const [costly] = readers as [FakeReader];
  costly.cost = 1e9;
  await nextTurn();
  assert.ok(readers.every(({ isShed }) => !isShed));
  clock.now = 2500;
  await nextTurn();
  await nextTurn();
  assert.ok(costly.isShed);
});

// Guards against the end of a request that only its own bytes hold up.
test('a single reader is never ended, however much it reads', async () => {
  const { clock, add } = createScheduler();
  const reader = add('only', 1024 * KIB);
  while (reader.isReadable) {
    clock.now += 1000;
    await nextTurn();
  }
  assert.ok(!reader.isShed);
});
