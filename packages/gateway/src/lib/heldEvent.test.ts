import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { test, type TestContext } from 'node:test';
import type { RecordOutcome, StreamOrigin } from '@berylwood/registry';
import { until } from '@berylwood/testing';
import { RawCaller } from '../fixtures/rawCaller';
import { RawStream, type Ending } from '../fixtures/rawStream';
import {
  createStreamGateway,
  type StreamGateway,
  type StreamGatewaySetup,
  type StreamScript,
} from '../fixtures/streamGateway';

const LIMIT_MS = 3000;

/** Time in which bytes that are not held back would reach a caller on loopback, in milliseconds. */
const SETTLE_MS = 60;

/** Time within which a caller has what is released; the bound is far below the gap between two events. */
const RELEASE_MS = 30;

const EVENT_STREAM = ['Content-Type: text/event-stream'];

const ALL_IDS = [1, 2, 3];

const eventOf = (id: number): string => `id: ${id}\ndata: piece ${id}\n\n`;

/** A record that waits until a test ends it. */
interface PendingRecord {
  readonly origin: StreamOrigin;
  readonly resolve: (outcome: RecordOutcome) => void;
  readonly reject: (error: Error) => void;
}

/** Origins whose records end when a test says so. */
class PendingOrigins {
  readonly records: PendingRecord[] = [];

  readonly find = async (): Promise<string> => 'v1';

  readonly findOnlyVersion = this.find;

  /** Settles the only record. */
  get only(): PendingRecord {
    assert.equal(this.records.length, 1);
    return this.records[0] as PendingRecord;
  }

  record(origin: StreamOrigin): Promise<RecordOutcome> {
    return new Promise((resolve, reject) => {
      this.records.push({ origin, resolve, reject });
    });
  }
}

async function createGateway(
  t: TestContext,
  setup: StreamGatewaySetup = {},
): Promise<{ gateway: StreamGateway; origins: PendingOrigins }> {
  const origins = new PendingOrigins();
  const gateway = await createStreamGateway({ origins, ...setup });
  t.after(() => gateway[Symbol.asyncDispose]());
  return { gateway, origins };
}

/** How the first endpoint's response goes on after its first event. */
interface FirstResponse {
  /** Parts that are written one after the other, the first event in the first one. */
  readonly writes: readonly string[];
  readonly ending: Ending;
}

/** Plays a first response; endpoints that resume the stream send its rest. */
function createScript({ writes, ending }: FirstResponse): StreamScript {
  return async (socket, { attempt, lastEventId }) => {
    const raw = new RawStream(socket, 'chunked');
    raw.writeHead(EVENT_STREAM, 0);
    if (attempt > 0) {
      for (const id of ALL_IDS.slice(lastEventId)) raw.write(Buffer.from(eventOf(id)));
      raw.end('orderly');
      return;
    }
    for (const part of writes) {
      raw.write(Buffer.from(part));
      await sleep(5);
    }
    raw.end(ending);
  };
}

const call = (gateway: StreamGateway, headers: Readonly<Record<string, string>> = {}): RawCaller =>
  new RawCaller(gateway.address, {
    path: '/resumable/1',
    headers: { 'Attempt-Id': 'a-1', ...headers },
  });

const waitForRecord = ({ records }: PendingOrigins): Promise<void> =>
  until('the first event is recorded', () => records.length > 0, LIMIT_MS);

/** Waits until a caller has some events, and returns how long that took in milliseconds. */
async function waitForIds(caller: RawCaller, count: number): Promise<number> {
  const startedAt = performance.now();
  while (caller.ids.length < count) {
    assert.ok(performance.now() - startedAt < LIMIT_MS, `only ${caller.ids.length} events`);
    await sleep(1);
  }
  return performance.now() - startedAt;
}

for (const outcome of ['durable', 'partial', 'unavailable'] as const) {
  // Guards against a first event that its caller has before its version is known, and against one that stays held.
  test(`the caller has no byte until the record ends, and the event at once if it is ${outcome}`, async (t) => {
    const { gateway, origins } = await createGateway(t);
    gateway.play(createScript({ writes: [eventOf(1)], ending: 'silent' }));
    const caller = call(gateway);
    t.after(() => caller.leave());
    await waitForRecord(origins);
    await sleep(SETTLE_MS);
    assert.equal(caller.text, '');
    const { stream, pool, version } = origins.only.origin;
    assert.deepEqual({ stream, pool, version }, { stream: 'a-1', pool: 'pool', version: 'v1' });
    origins.only.resolve(outcome);
    const waitedMs = await waitForIds(caller, 1);
    assert.ok(waitedMs < RELEASE_MS, `${waitedMs} ms`);
    assert.equal(caller.status, 200);
  });
}

const ENDS: Readonly<Record<string, FirstResponse>> = {
  'a whole stream of one part': { writes: [ALL_IDS.map(eventOf).join('')], ending: 'orderly' },
  'a whole stream of several parts': { writes: ALL_IDS.map(eventOf), ending: 'orderly' },
  'a reset': { writes: [eventOf(1)], ending: 'reset' },
  'a reset after two events': { writes: [eventOf(1), eventOf(2)], ending: 'reset' },
  'a reset inside an event': { writes: [eventOf(1), 'id: 2\nda'], ending: 'reset' },
  'an end inside an event': { writes: [`${eventOf(1)}id: 2\nda`], ending: 'orderly' },
  'foreign bytes in a part of their own': {
    writes: [eventOf(1), 'data: x\n\n', eventOf(2)],
    ending: 'orderly',
  },
  'foreign bytes after the second event': {
    writes: [`${eventOf(1)}${eventOf(2)}data: x\n\n`],
    ending: 'orderly',
  },
};

for (const [name, first] of Object.entries(ENDS)) {
  // Guards against an end of the attempt that overtakes the held event, drops it or repeats it.
  test(`${name}, which comes while the first event is held: the caller has each event once`, async (t) => {
    const { gateway, origins } = await createGateway(t);
    gateway.play(createScript(first));
    const caller = call(gateway);
    t.after(() => caller.leave());
    await waitForRecord(origins);
    await sleep(SETTLE_MS);
    assert.equal(caller.text, '');
    origins.only.resolve('durable');
    await until('the end', () => caller.isWhole, LIMIT_MS);
    assert.deepEqual(caller.ids, ALL_IDS);
    assert.equal(caller.text.includes('data: x'), false);
    // The stream is bound: a response that goes on elsewhere is not recorded again.
    assert.equal(origins.records.length, 1);
    assert.equal(gateway.inFlight, 0);
  });
}

// Guards against a record of an event that the gateway has taken back.
test('foreign bytes in the part of the first event: the event of the next attempt is held', async (t) => {
  const { gateway, origins } = await createGateway(t);
  gateway.play(createScript({ writes: [`${eventOf(1)}data: x\n\n`], ending: 'silent' }));
  const caller = call(gateway);
  t.after(() => caller.leave());
  await waitForRecord(origins);
  await sleep(SETTLE_MS);
  assert.equal(caller.text, '');
  origins.only.resolve('durable');
  await until('the end', () => caller.isWhole, LIMIT_MS);
  assert.deepEqual(caller.ids, ALL_IDS);
});

for (const ending of ['silent', 'orderly', 'reset'] as const) {
  for (const leaves of [true, false]) {
    const how = leaves ? 'the caller leaves' : 'the deadline passes';
    // Guards against a late record that writes to a response that has ended, or keeps the endpoint's place.
    test(`${how} while the first event of a stream with the end "${ending}" is held`, async (t) => {
      const { gateway, origins } = await createGateway(t);
      gateway.play(createScript({ writes: [eventOf(1)], ending }));
      const caller = call(gateway, leaves ? {} : { 'Deadline-Ms': '150' });
      t.after(() => caller.leave());
      await waitForRecord(origins);
      await sleep(SETTLE_MS);
      if (leaves) caller.leave();
      else await until('the answer', () => caller.status > 0, LIMIT_MS);
      await until('nothing is in flight', () => gateway.inFlight === 0, LIMIT_MS);
      const { text } = caller;
      origins.only.resolve('durable');
      await sleep(SETTLE_MS);
      assert.equal(caller.text, text);
      assert.deepEqual(caller.ids, []);
      if (!leaves) assert.equal(caller.status, 504);
      gateway.play(createScript({ writes: ALL_IDS.map(eventOf), ending: 'orderly' }));
      const next = call(gateway, { 'Attempt-Id': 'a-2' });
      await until('the next record', () => origins.records.length === 2, LIMIT_MS);
      origins.records[1]?.resolve('durable');
      await until('the next stream', () => next.isWhole, LIMIT_MS);
      assert.deepEqual(next.ids, ALL_IDS);
      next.leave();
    });
  }
}

const UNHELD: Readonly<Record<string, { path: string; headers: Record<string, string> }>> = {
  'a route that is not resumable': { path: '/single/1', headers: { 'Attempt-Id': 'a-1' } },
  'a take-up': {
    path: '/resumable/1',
    headers: { 'Attempt-Id': 'a-2', Resumes: 'a-1', 'Last-Event-Id': '1' },
  },
  'a request without an attempt': { path: '/resumable/1', headers: {} },
};

for (const [name, { path, headers }] of Object.entries(UNHELD)) {
  // Guards against a wait that binds nothing.
  test(`${name}: nothing is recorded, and no event waits`, async (t) => {
    const { gateway, origins } = await createGateway(t);
    const after = Number(headers['Last-Event-Id'] ?? 0);
    gateway.play(createScript({ writes: [eventOf(after + 1)], ending: 'silent' }));
    const caller = new RawCaller(gateway.address, { path, headers });
    t.after(() => caller.leave());
    await waitForIds(caller, 1);
    assert.deepEqual(caller.ids, [after + 1]);
    assert.equal(origins.records.length, 0);
  });
}

// Guards against a wait of responses that no one resumes.
test('a plain route: nothing is recorded, and its response is passed on', async (t) => {
  const { gateway, origins } = await createGateway(t);
  gateway.play((socket) => {
    socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok');
  });
  const caller = new RawCaller(gateway.address, {
    path: '/plain/1',
    headers: { 'Attempt-Id': 'a-1' },
  });
  t.after(() => caller.leave());
  await until('the response', () => caller.isWhole, LIMIT_MS);
  assert.equal(origins.records.length, 0);
});

// Guards against an event that nobody can resume and that is held all the same.
test('a list without versions: nothing is recorded, and no event waits', async (t) => {
  const { gateway, origins } = await createGateway(t, { versions: [undefined, undefined] });
  gateway.play(createScript({ writes: [eventOf(1)], ending: 'silent' }));
  const caller = call(gateway);
  t.after(() => caller.leave());
  await waitForIds(caller, 1);
  assert.equal(origins.records.length, 0);
});

for (const isLate of [true, false]) {
  const when = isLate ? 'after' : 'before';
  // Guards against a caller without chunks whose response is sent before its version is known, or not at all.
  test(`a caller of HTTP/1.0 has the whole stream if its record ends ${when} the stream`, async (t) => {
    const { gateway, origins } = await createGateway(t);
    gateway.play(createScript({ writes: ALL_IDS.map(eventOf), ending: 'orderly' }));
    const headers = { 'Attempt-Id': 'a-1' };
    const caller = new RawCaller(gateway.address, {
      path: '/resumable/1',
      version: '1.0',
      headers,
    });
    t.after(() => caller.leave());
    await waitForRecord(origins);
    if (isLate) await sleep(SETTLE_MS);
    assert.equal(caller.text, '');
    origins.only.resolve('durable');
    await until('the end', () => caller.hasEnded, LIMIT_MS);
    assert.ok(caller.isWhole);
    assert.deepEqual(caller.ids, ALL_IDS);
  });
}

// Guards against a fault of the record that ends more than its request.
test('a record that fails by an exception leaves no caller without an answer', async (t) => {
  const { gateway, origins } = await createGateway(t);
  gateway.play(createScript({ writes: [eventOf(1)], ending: 'silent' }));
  const caller = call(gateway);
  t.after(() => caller.leave());
  await waitForRecord(origins);
  origins.only.reject(new Error('a fault of the record'));
  await until('an answer', () => caller.status > 0, LIMIT_MS);
  assert.equal(caller.status, 500);
  assert.deepEqual(caller.ids, []);
  await until('nothing is in flight', () => gateway.inFlight === 0, LIMIT_MS);
});
