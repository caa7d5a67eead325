import assert from 'node:assert/strict';
import { request as sendRequest } from 'node:http';
import type { Socket } from 'node:net';
import { after, before, test } from 'node:test';
import { until } from '@berylwood/testing';
import {
  createAttemptParts,
  createOutgoingRequest,
  createRawEndpoint,
} from '../fixtures/rawEndpoint';
import { Attempt, type AttemptEnd } from './Attempt';
import type { Endpoint } from './Endpoint';

const ROUNDS = 50;

const SOUND = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok';

/** Longer than what a socket and a parser buffer, so that a paused response pauses its connection. */
const LONG_BODY = 'x'.repeat(300_000);

/** How an attempt ends; `cancelled` is what the caller of the attempt does on its head. */
type Ending = AttemptEnd['type'] | 'cancelled' | 'aborted';

interface Play {
  readonly ending: Ending;
  readonly method?: string;
  /** Pauses the response at each of its parts. */
  readonly isSlow?: boolean;
  readonly answer: (socket: Socket) => void;
}

const KEPT: Record<string, Play> = {
  'a length': { ending: 'complete', answer: (socket) => socket.write(SOUND) },
  chunks: {
    ending: 'complete',
    answer: (socket) =>
      socket.write('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n'),
  },
  'no body': {
    ending: 'complete',
    answer: (socket) => socket.write('HTTP/1.1 204 No Content\r\n\r\n'),
  },
  'a head only': {
    ending: 'complete',
    method: 'HEAD',
    answer: (socket) => socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n'),
  },
  'an early hint': {
    ending: 'complete',
    answer: (socket) => socket.write(`HTTP/1.1 103 Early Hints\r\n\r\n${SOUND}`),
  },
  'pauses of its reader': {
    ending: 'complete',
    isSlow: true,
    answer: (socket) =>
      socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${LONG_BODY.length}\r\n\r\n${LONG_BODY}`),
  },
  'a failure': {
    ending: 'complete',
    answer: (socket) =>
      socket.write('HTTP/1.1 500 Internal Server Error\r\nContent-Length: 2\r\n\r\nno'),
  },
  'a rejection': {
    ending: 'refused',
    answer: (socket) =>
      socket.write('HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\nbusy'),
  },
};

const CLOSED: Record<string, Play> = {
  'a response that ends with the connection': {
    ending: 'complete',
    answer: (socket) => socket.end('HTTP/1.1 200 OK\r\n\r\nwhole'),
  },
  'a cancelled response': { ending: 'cancelled', answer: (socket) => socket.write(SOUND) },
  'an aborted response': { ending: 'aborted', answer: (socket) => socket.write(SOUND) },
  'an unsigned response': {
    ending: 'broken',
    answer: (socket) => socket.write(SOUND.replace('\r\n', '\r\nNot-Signed: 1\r\n')),
  },
  'a reset response': {
    ending: 'broken',
    answer: (socket) => {
      socket.write('HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf');
      socket.resetAndDestroy();
    },
  },
  'a cut response': {
    ending: 'broken',
    answer: (socket) => socket.end('HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf'),
  },
  'no response': { ending: 'broken', answer: (socket) => socket.destroy() },
};

const warnings: string[] = [];
const onWarning = (warning: Error): void => {
  warnings.push(String(warning));
};

before(() => {
  process.on('warning', onWarning);
});

after(() => {
  process.off('warning', onWarning);
});

/** Plays one attempt and resolves to how it ended. */
function play(endpoint: Endpoint, { ending, method, isSlow = false }: Play): Promise<Ending> {
  return new Promise((resolve) => {
    let attempt: Attempt | undefined;
    const listener = {
      onHead: () => {
        if (ending === 'aborted') attempt?.abort('aborted by the test');
        if (ending !== 'cancelled') return;
        attempt?.cancel();
        resolve('cancelled');
      },
      onData: () => {
        if (isSlow) setImmediate(() => attempt?.resume());
        return !isSlow;
      },
      onEnd: (end: AttemptEnd) =>
        resolve(end.type === 'broken' && ending === 'aborted' ? 'aborted' : end.type),
    };
    const request = createOutgoingRequest();
    attempt = new Attempt(
      endpoint,
      { ...request, method: method ?? request.method },
      listener,
      createAttemptParts(),
    );
  });
}

function sockets({ agent }: Endpoint): { busy: Socket[]; idle: Socket[] } {
  const list = (bySite: NodeJS.ReadOnlyDict<Socket[]>): Socket[] =>
    Object.values(bySite).flatMap((found) => found ?? []);
  return { busy: list(agent.sockets), idle: list(agent.freeSockets) };
}

/** Waits until no connection is in use, and returns the idle ones. */
async function awaitIdle(endpoint: Endpoint): Promise<Socket[]> {
  await until('no connection is in use', () => sockets(endpoint).busy.length === 0);
  return sockets(endpoint).idle;
}

/** Everything on a socket that a request could leave there. */
function stateOf(socket: Socket) {
  const listeners = socket.eventNames().map((name) => [String(name), socket.listenerCount(name)]);
  return {
    listeners: Object.fromEntries(listeners) as Record<string, number>,
    properties: Reflect.ownKeys(socket).map(String).sort(),
    timeout: socket.timeout,
  };
}

/** State of an idle connection that has served requests of Node.js alone. */
async function stateWithoutAttempts(): Promise<ReturnType<typeof stateOf>> {
  const { endpoint, close } = await createRawEndpoint((socket) => socket.write(SOUND));
  for (let round = 0; round < 2; round += 1) {
    await new Promise<void>((resolve, reject) => {
      const [host, port] = endpoint.listed.address.split(':');
      const request = sendRequest({ host, port, agent: endpoint.agent });
      request.on('response', (response) => response.resume().on('end', resolve));
      request.on('error', reject);
      request.end();
    });
    await awaitIdle(endpoint);
  }
  const [socket] = sockets(endpoint).idle as [Socket];
  const state = stateOf(socket);
  close();
  return state;
}

// Guards against listeners that each response leaves on the endpoint's kept connection.
for (const [name, given] of Object.entries(KEPT)) {
  test(`attempts that get ${name} leave nothing on their kept connection`, async (t) => {
    const expected = await stateWithoutAttempts();
    const { endpoint, connections, close } = await createRawEndpoint(given.answer);
    t.after(close);
    endpoint.setMaxConnections(1);
    for (let round = 0; round < ROUNDS; round += 1) {
      assert.equal(await play(endpoint, given), given.ending);
      const [socket, ...others] = await awaitIdle(endpoint);
      assert.ok(socket, `kept after round ${round}`);
      assert.equal(others.length, 0);
      assert.deepEqual(stateOf(socket), expected, `round ${round}`);
    }
    assert.equal(connections(), 1);
    assert.deepEqual(warnings, []);
  });
}

// Guards against listeners of an attempt without a whole response on the next attempt's connection.
for (const [name, given] of Object.entries(CLOSED)) {
  test(`an attempt that gets ${name} leaves no connection, and the next one's is clean`, async (t) => {
    const expected = await stateWithoutAttempts();
    let { answer } = given;
    const { endpoint, close } = await createRawEndpoint((socket) => answer(socket));
    t.after(close);
    endpoint.setMaxConnections(1);
    for (let round = 0; round < ROUNDS; round += 1) {
      ({ answer } = given);
      assert.equal(await play(endpoint, given), given.ending);
      assert.deepEqual(await awaitIdle(endpoint), [], `round ${round}`);
      answer = (socket) => socket.write(SOUND);
      assert.equal(await play(endpoint, { ending: 'complete', answer }), 'complete');
      const [socket] = await awaitIdle(endpoint);
      assert.deepEqual(socket && stateOf(socket), expected, `round ${round}`);
    }
    assert.deepEqual(warnings, []);
  });
}

// Guards against listeners of an attempt on a connection that it never got.
test('attempts that are cancelled while they wait for a connection leave nothing on it', async (t) => {
  const expected = await stateWithoutAttempts();
  const { endpoint, connections, close } = await createRawEndpoint((socket) => socket.write(SOUND));
  t.after(close);
  endpoint.setMaxConnections(1);
  const sound: Play = { ending: 'complete', answer: () => {} };
  for (let round = 0; round < ROUNDS; round += 1) {
    const first = play(endpoint, sound);
    const ignore = { onHead: () => {}, onData: () => true, onEnd: () => assert.fail('was run') };
    const second = new Attempt(endpoint, createOutgoingRequest(), ignore, createAttemptParts());
    const third = play(endpoint, sound);
    if (round % 2 === 0) second.cancel();
    else setImmediate(() => second.cancel());
    await Promise.all([first, third]);
    const [socket] = await awaitIdle(endpoint);
    assert.deepEqual(socket && stateOf(socket), expected, `round ${round}`);
  }
  assert.equal(connections(), 1);
  assert.deepEqual(warnings, []);
});
