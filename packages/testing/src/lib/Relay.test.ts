import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, createServer, type AddressInfo } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { test } from 'node:test';
import { Relay } from './Relay';

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
