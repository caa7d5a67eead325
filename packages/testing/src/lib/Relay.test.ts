import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { test } from 'node:test';
import fc from 'fast-check';
import { Relay } from './Relay';
import { until } from './until';

test('bytes stay in order, and come before the end, when a delay ends meanwhile', async () => {
  let received = '';
  const server = createServer((socket) => {
    socket.on('data', (chunk) => {
      received += chunk.toString();
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const relay = new Relay(`127.0.0.1:${(server.address() as AddressInfo).port}`);
  await relay.listen('127.0.0.1:0');
  const [host, port] = relay.address.split(':');
  const socket = connect(Number(port), host);
  await once(socket, 'connect');
  const ended = once(server, 'connection').then(([peer]) => once(peer, 'end'));
  socket.write('1');
  await sleep(50);
  relay.delay(80);
  socket.write('2');
  await sleep(20);
  relay.delay(0);
  socket.write('3');
  await sleep(10);
  socket.end('4');
  await ended;
  assert.equal(received, '1234');
  await relay.close();
  server.close();
});

// Guards against a stand-in that hides a reset, so that a cut response without a length looks complete.
for (const pauseMs of [0, 20]) {
  test(`a reset ${pauseMs} ms after the last bytes is passed on as a reset`, async () => {
    const server = createServer((socket) => {
      socket.write('half');
      if (pauseMs === 0) socket.resetAndDestroy();
      else setTimeout(() => socket.resetAndDestroy(), pauseMs);
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const relay = new Relay(`127.0.0.1:${(server.address() as AddressInfo).port}`);
    await relay.listen('127.0.0.1:0');
    const [host, port] = relay.address.split(':');
    for (let round = 0; round < 20; round += 1) {
      const socket = connect(Number(port), host);
      let wasReset = false;
      socket.on('error', () => {
        wasReset = true;
      });
      socket.on('end', () => {
        wasReset ||= socket.remoteAddress === undefined;
      });
      socket.resume();
      await once(socket, 'close').catch(() => []);
      assert.ok(wasReset, `round ${round}`);
    }
    await relay.close();
    server.close();
  });
}

/** What a side does with its connection; it may take time. */
type Act = (socket: Socket) => unknown;

const acts: Act[] = [
  (socket) => socket.write('a'),
  (socket) => socket.write(Buffer.alloc(300_000)),
  (socket) => socket.end(),
  (socket) => socket.destroy(),
  (socket) => socket.resetAndDestroy(),
  () => new Promise<void>(setImmediate),
  () => sleep(1),
];

async function take(taken: readonly Act[], socket: Socket): Promise<void> {
  for (const act of taken) if (socket.writable) await act(socket);
  if (!socket.destroyed) socket.destroy();
}

// Guards against a connection that stays open for good, so that a process of a test can't exit.
test('all connections close, however each of their sides ends', async () => {
  let served: readonly Act[] = [];
  const servedEnds: Promise<void>[] = [];
  const server = createServer({ allowHalfOpen: true }, (socket) => {
    socket.on('error', () => {}).resume();
    servedEnds.push(take(served, socket));
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const relay = new Relay(`127.0.0.1:${(server.address() as AddressInfo).port}`);
  await relay.listen('127.0.0.1:0');
  const [host, port] = relay.address.split(':');
  const some = fc.array(fc.constantFrom(...acts), { maxLength: 4 });
  const property = fc.asyncProperty(
    fc.array(some, { minLength: 1, maxLength: 6 }),
    some,
    fc.constantFrom(0, 0, 2),
    fc.option(fc.nat(3)),
    async (clients, atServer, delayMs, resetMs) => {
      served = atServer;
      relay.delay(delayMs);
      const ends = clients.map(async (taken) => {
        const socket = connect({ port: Number(port), host, allowHalfOpen: true }).resume();
        socket.on('error', () => {});
        await take(taken, socket);
      });
      if (resetMs !== null) await sleep(resetMs);
      if (resetMs !== null) relay.reset();
      await Promise.all([...ends, ...servedEnds.splice(0)]);
      await until('the relay has closed all', () => relay.socketCount === 0, 3000);
    },
  );
  try {
    await fc.assert(property, { numRuns: 500, seed: 1, endOnFailure: true });
  } finally {
    await relay.close();
    server.close();
  }
});
