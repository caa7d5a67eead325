import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, type AddressInfo } from 'node:net';
import { test } from 'node:test';
import { SystemTimer } from '@berylwood/base';
import { CrashProbe } from './CrashProbe';

test('an endpoint has crashed if it refuses connections, and not if it accepts them', async () => {
  const server = createServer((socket) => socket.on('error', () => {}));
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const probe = new CrashProbe(`127.0.0.1:${port}`, new SystemTimer());
  assert.equal(await probe.hasCrashed(), false);
  server.close();
  await once(server, 'close');
  assert.equal(await probe.hasCrashed(), true);
});

test('one connection serves all attempts that break at the same time', async () => {
  let connections = 0;
  const server = createServer((socket) => {
    connections += 1;
    socket.on('error', () => {});
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const probe = new CrashProbe(`127.0.0.1:${port}`, new SystemTimer());
  await Promise.all([probe.hasCrashed(), probe.hasCrashed(), probe.hasCrashed()]);
  server.close();
  await once(server, 'close');
  assert.equal(connections, 1);
});
