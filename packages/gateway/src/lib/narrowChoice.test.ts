import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { test, type TestContext } from 'node:test';
import { until } from '@berylwood/testing';
import { RawCaller } from '../fixtures/rawCaller';
import { RawStream } from '../fixtures/rawStream';
import {
  createStreamGateway,
  type StreamGateway,
  type StreamScript,
} from '../fixtures/streamGateway';

const LIMIT_MS = 6000;

const EVENT_STREAM = ['Content-Type: text/event-stream'];

const ALL_IDS = [1, 2, 3];

/** Time after which a running stream without events counts as lost on the routes of the fixture, in milliseconds. */
const LOST_MS = 2000;

const SETTLE_MS = 60;

const eventOf = (id: number): string => `id: ${id}\ndata: piece ${id}\n\n`;

async function createGateway(t: TestContext, versions: readonly string[]): Promise<StreamGateway> {
  const gateway = await createStreamGateway({ versions });
  t.after(() => gateway[Symbol.asyncDispose]());
  return gateway;
}

function call(
  t: TestContext,
  gateway: StreamGateway,
  headers: Readonly<Record<string, string>>,
): RawCaller {
  const caller = new RawCaller(gateway.address, { path: '/resumable/1', headers });
  t.after(() => caller.leave());
  return caller;
}

/** Streams the events after those that the caller has, and pauses the first attempt after its first event. */
function createStallingScript(pauseMs: number, attempts: number[]): StreamScript {
  return async (socket, { attempt, lastEventId }) => {
    attempts.push(attempt);
    const raw = new RawStream(socket, 'chunked');
    raw.writeHead(EVENT_STREAM, 0);
    for (const id of ALL_IDS.slice(lastEventId)) {
      if (attempt === 0 && id > 1) await sleep(pauseMs);
      if (socket.destroyed) return;
      raw.write(Buffer.from(eventOf(id)));
    }
    raw.end('orderly');
  };
}

// Guards against a stream that is broken off for a retry which no endpoint can serve.
test('a stalled stream goes on waiting if no other endpoint of its version is there', async (t) => {
  const gateway = await createGateway(t, ['v1', 'v2']);
  const attempts: number[] = [];
  gateway.play(createStallingScript(LOST_MS + 500, attempts));
  const caller = call(t, gateway, { 'Attempt-Id': 'a-1' });
  await until('the end', () => caller.isWhole, 2 * LIMIT_MS);
  assert.deepEqual(caller.ids, ALL_IDS);
  assert.deepEqual(attempts, [0]);
});

// Guards against a binding under which no stalled stream is resumed any more.
test('a stalled stream goes on at another endpoint of its version', async (t) => {
  const gateway = await createGateway(t, ['v1', 'v1']);
  const attempts: number[] = [];
  gateway.play(createStallingScript(2 * LIMIT_MS, attempts));
  const caller = call(t, gateway, { 'Attempt-Id': 'a-1' });
  await until('the end', () => caller.isWhole, LIMIT_MS);
  assert.deepEqual(caller.ids, ALL_IDS);
  assert.deepEqual(attempts, [0, 1]);
});

/** An endpoint that answers a request only when the test says so. */
function createWaitingScript() {
  let answer: () => void = () => {};
  let requests = 0;
  const isAnswering = new Promise<void>((resolve) => {
    answer = resolve;
  });
  const script: StreamScript = async (socket, { lastEventId }) => {
    requests += 1;
    await isAnswering;
    const raw = new RawStream(socket, 'chunked');
    raw.writeHead(EVENT_STREAM, 0);
    raw.write(Buffer.from(eventOf(lastEventId + 1)));
  };
  return { script, answer: () => answer(), countRequests: () => requests };
}

// Guards against a take-up that begins at an endpoint of its version and is answered by its successor.
test('a take-up has no event of an endpoint that is listed with another version before it', async (t) => {
  const gateway = await createGateway(t, ['v1', 'v1']);
  const { script, answer, countRequests } = createWaitingScript();
  gateway.play(script);
  const caller = call(t, gateway, {
    'Attempt-Id': 'a-2',
    Resumes: 'a-1',
    'Last-Event-Id': '1',
  });
  await until('the request', () => countRequests() > 0, LIMIT_MS);
  gateway.listVersions(['v2', 'v2']);
  answer();
  await sleep(SETTLE_MS);
  assert.deepEqual(caller.ids, []);
  await until('the answer', () => caller.status > 0, LIMIT_MS);
  assert.equal(caller.status >= 500, true);
});

// Guards against a new stream that its caller does not get because its version can't be known.
test('a new stream begins at an endpoint that is listed with another version before its first event', async (t) => {
  const gateway = await createGateway(t, ['v1', 'v1']);
  const { script, answer, countRequests } = createWaitingScript();
  gateway.play(script);
  const caller = call(t, gateway, { 'Attempt-Id': 'a-1' });
  await until('the request', () => countRequests() > 0, LIMIT_MS);
  gateway.listVersions(['v2', 'v2']);
  answer();
  await until('the first event', () => caller.ids.length === 1, LIMIT_MS);
  assert.equal(caller.status, 200);
});
