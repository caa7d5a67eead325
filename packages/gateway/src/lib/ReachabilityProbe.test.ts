import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import { test } from 'node:test';
import { SystemTimer } from '@berylwood/base';
import { CONNECT_TIMEOUT_MS } from './probeConnection';
import { ReachabilityProbe } from './ReachabilityProbe';

/** Number of connections that fill the queue of a listener with a backlog of one. */
const BACKLOG_FILLERS = 4;

/** Whether a probe finds the endpoint unreachable within three connect timeouts. */
async function isUnreachable(address: string): Promise<boolean> {
  const probe = new ReachabilityProbe(address, new SystemTimer());
  return new Promise((resolve) => {
    probe.check(() => resolve(true));
    setTimeout(() => resolve(false), CONNECT_TIMEOUT_MS * 3);
  });
}

test('an endpoint that accepts or refuses connections is reachable', async () => {
  const server = createServer((socket) => socket.on('error', () => {}));
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  assert.equal(await isUnreachable(`127.0.0.1:${port}`), false);
  server.close();
  await once(server, 'close');
  assert.equal(await isUnreachable(`127.0.0.1:${port}`), false);
});

test('an endpoint that does not respond to a connection is unreachable', async () => {
  const script = `const server = require('node:net').createServer();
    server.listen({ port: 0, host: '127.0.0.1', backlog: 1 }, () => console.log(server.address().port));`;
  const child = spawn(process.execPath, ['-e', script], { stdio: ['ignore', 'pipe', 'inherit'] });
  const [line] = (await once(child.stdout, 'data')) as [Buffer];
  child.kill('SIGSTOP');
  const port = Number(line.toString());
  const fillers = Array.from({ length: BACKLOG_FILLERS }, (): Socket => {
    const socket = connect({ port, host: '127.0.0.1' });
    return socket.on('error', () => {});
  });
  try {
    await new Promise((resolve) => {
      setTimeout(resolve, CONNECT_TIMEOUT_MS);
    });
    assert.equal(await isUnreachable(`127.0.0.1:${port}`), true);
  } finally {
    fillers.forEach((socket) => socket.destroy());
    child.kill('SIGKILL');
  }
});
