import assert from 'node:assert/strict';
import { createServer } from 'node:http';
import { connect, type AddressInfo, type Socket } from 'node:net';
import { test, type TestContext } from 'node:test';
import { SystemTimer, createSilentJournal } from '@berylwood/base';
import { until } from '@berylwood/testing';
import { UnfinishedHeads } from './UnfinishedHeads';

const MAX_WAITING = 4;

async function startServer(t: TestContext) {
  const timer = new SystemTimer();
  const journal = createSilentJournal(timer);
  const heads = new UnfinishedHeads({ maxWaiting: MAX_WAITING, timer, journal });
  const slow = { count: 0 };
  const server = createServer((request, response) => {
    if (request.url === '/slow') slow.count += 1;
    else response.end('ok');
  });
  server.on('connection', (socket: Socket) => heads.accept(socket));
  heads.watch(server);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const sockets: Socket[] = [];
  t.after(() => {
    for (const socket of sockets) socket.destroy();
    server.close();
    server.closeAllConnections();
  });
  const open = async (text: string): Promise<Socket> => {
    const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
    sockets.push(socket);
    socket.on('error', () => {});
    socket.resume();
    socket.write(text);
    await new Promise((resolve) => {
      setTimeout(resolve, 30);
    });
    return socket;
  };
  return { heads, open, slow };
}

const REQUEST = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';

// Guards against the end of an idle connection of an ordinary caller in place of an unfinished head.
test('connections with an unfinished head are closed before idle ones', async (t) => {
  const { heads, open } = await startServer(t);
  const idle = await open(REQUEST);
  const first = await open('GET / HTTP/1.1\r\n');
  for (let count = 0; count < MAX_WAITING; count += 1) await open('GET / HTTP/1.1\r\n');
  await until('the first unfinished head is closed', () => first.destroyed);
  assert.ok(!idle.destroyed);
  assert.ok(heads.size <= MAX_WAITING);
});

// Guards against the end of a connection whose second request was sent before the first response.
test('a connection with a request that was sent ahead does not count as waiting', async (t) => {
  const { heads, open, slow } = await startServer(t);
  await open(`${REQUEST}GET /slow HTTP/1.1\r\nHost: a\r\n\r\n`);
  await until('the second request has come', () => slow.count === 1);
  // The first response ends in the meantime.
  await open('');
  assert.equal(heads.size, 1, 'only the connection without a request waits');
});

// Guards against connections that still count after they have ended.
test('a connection that has ended no longer counts', async (t) => {
  const { heads, open } = await startServer(t);
  const socket = await open(REQUEST);
  assert.equal(heads.size, 1);
  socket.destroy();
  await until('none is left', () => heads.size === 0);
});
