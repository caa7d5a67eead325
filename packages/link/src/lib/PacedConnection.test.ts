import assert from 'node:assert/strict';
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import { connect, type AddressInfo, type Socket } from 'node:net';
import { test, type TestContext } from 'node:test';
import { setImmediate as nextTurn } from 'node:timers/promises';
import { Random, SystemTimer, VirtualTimer, type Timer } from '@berylwood/base';
import { until } from '@berylwood/testing';
import { paceConnections, pacedConnectionOf } from './paceConnections';
import type { InputAccount } from './InputBudget';
import { ReadScheduler } from './ReadScheduler';

const MAX_DISCARDED_BYTES = 64 * 1024;

type Handler = (request: IncomingMessage, response: ServerResponse, body: string) => void;

/** An account that keeps what was counted last. */
function createAccount(onEnd: () => void) {
  const account = {
    onEnd,
    receivedBytes: 0,
    heapBytes: 0,
    isComplete: false,
    isDisposed: false,
    move: () => {},
    receive: (bytes: number) => {
      account.receivedBytes = bytes;
    },
    reserve: (bytes: number) => {
      account.heapBytes = bytes;
    },
    resize: () => {},
    complete: () => {
      account.isComplete = true;
    },
    end: () => account.onEnd(),
    [Symbol.dispose]: () => {
      account.isDisposed = true;
    },
  } satisfies InputAccount & Record<string, unknown>;
  return account;
}

/** A server with paced connections, which calls the handler once a request is complete. */
async function startServer(t: TestContext, handle: Handler, timer: Timer = new SystemTimer()) {
  const state = { chunks: 0, unread: 0 };
  const accounts: ReturnType<typeof createAccount>[] = [];
  const server = createServer((request, response) => {
    if (request.url === '/refused') pacedConnectionOf(request)?.discard(MAX_DISCARDED_BYTES);
    if (request.url === '/closed') {
      response.writeHead(413, { Connection: 'close', 'Content-Length': '2' }).end('no');
      return;
    }
    let body = '';
    request.on('data', (chunk: Buffer) => {
      state.chunks += 1;
      body += chunk.toString('latin1');
    });
    request.on('end', () => handle(request, response, body));
  });
  paceConnections(server, {
    timer,
    scheduler: new ReadScheduler(() => performance.now()),
    input: {
      open: (onEnd) => {
        accounts.push(createAccount(onEnd));
        return accounts.at(-1) as InputAccount;
      },
    },
    onUnread: () => {
      state.unread += 1;
    },
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const sockets: Socket[] = [];
  t.after(() => {
    for (const socket of sockets) socket.destroy();
    server.close();
    server.closeAllConnections();
  });
  const open = () => {
    const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
    sockets.push(socket);
    socket.on('error', () => {});
    const client = { socket, text: '', isClosed: false };
    socket.on('data', (chunk) => {
      client.text += chunk.toString('latin1');
    });
    socket.on('close', () => {
      client.isClosed = true;
    });
    return client;
  };
  return { state, accounts, open };
}

const get = (path: string): string => `GET ${path} HTTP/1.1\r\nHost: a\r\n\r\n`;

const post = (path: string, body: string): string =>
  `POST ${path} HTTP/1.1\r\nHost: a\r\nContent-Length: ${body.length}\r\n\r\n${body}`;

const chunked = (path: string, body: string): string => {
  const chunks = [...body].map((byte) => `1\r\n${byte}\r\n`).join('');
  return `POST ${path} HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n${chunks}0\r\n\r\n`;
};

// Guards against requests whose bytes are lost, moved or taken for another request's where slices divide them.
test('requests sent ahead are answered one at a time, in order and with their bodies', async (t) => {
  const random = new Random(1);
  let atWork = 0;
  let most = 0;
  const { open } = await startServer(t, async ({ url }, response, body) => {
    atWork += 1;
    most = Math.max(most, atWork);
    await nextTurn();
    atWork -= 1;
    response.end(`<${url} ${body}>`);
  });
  const bodies = Array.from({ length: 300 }, () => {
    const letters = ['x', '\n', '\r', '\n\r\n', '\r\n\r\n', 'GET / HTTP/1.1\r\n\r\n'];
    return Array.from({ length: random.below(40) }, () => random.pick(letters)).join('');
  });
  const forms: (typeof post)[] = [get, post, chunked];
  const sent = bodies.map((body, at) => random.pick<typeof post>(forms)(`/${at}`, body));
  const expected = sent.map((text, at) => `</${at} ${text.startsWith('GET') ? '' : bodies[at]}>`);
  const client = open();
  const text = sent.join('');
  for (let at = 0; at < text.length;) {
    const length = 1 + random.below(3000);
    client.socket.write(text.slice(at, at + length));
    at += length;
    if (random.below(4) === 0) await nextTurn();
  }
  await until('the last answer', () => client.text.includes(expected.at(-1) ?? ''));
  let from = 0;
  for (const answer of expected) {
    from = client.text.indexOf(answer, from);
    assert.ok(from >= 0, `missing or out of order: ${JSON.stringify(answer)}`);
  }
  assert.equal(most, 1);
});

// Guards against one read of a connection that holds up all others.
test('a turn of the loop reads few chunks, however many connections have sent some', async (t) => {
  const { state, open } = await startServer(t, (_, response) => response.end());
  const head = 'POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n';
  for (let number = 0; number < 20; number += 1) {
    open().socket.write(head + '1\r\nx\r\n'.repeat(30_000));
  }
  let most = 0;
  while (state.chunks < 200_000) {
    const before = state.chunks;
    await nextTurn();
    most = Math.max(most, state.chunks - before);
  }
  // Two turns may pass between two of these.
  assert.ok(most <= 8000, `${most} chunks in a turn`);
});

// Guards against requests that are begun for a caller that has left.
test('requests ahead of a caller that leaves are not begun', async (t) => {
  const begun: string[] = [];
  let finish = (): void => {};
  const { open } = await startServer(t, ({ url = '' }, response) => {
    begun.push(url);
    finish = () => response.end();
  });
  const client = open();
  client.socket.write(get('/1') + get('/2') + get('/3'));
  await until('the first has begun', () => begun.length > 0);
  client.socket.end();
  await until('the connection has ended', () => client.isClosed);
  finish();
  await nextTurn();
  assert.deepEqual(begun, ['/1']);
});

// Guards against a caller's leaving that is noticed only at the end of its request.
test('the end of a connection is noticed while its request is at work', async (t) => {
  let isGone = false;
  const { open } = await startServer(t, (_, response) => {
    response.on('close', () => {
      isGone = true;
    });
  });
  const client = open();
  client.socket.write(get('/'));
  client.socket.end();
  await until('the request is gone', () => isGone);
});

// Guards against what is held of a request and counted nowhere, or counted for good.
test('a request counts from its first byte until its response has closed', async (t) => {
  const { accounts, open } = await startServer(t, ({ url }, response) => {
    if (url === '/answered') response.end('ok');
  });
  const client = open();
  client.socket.write('GET /answered HTTP/1.1\r\n');
  await until('the head counts', () => accounts.at(0)?.receivedBytes === 24);
  client.socket.write('Host: a\r\n\r\n');
  await until('the answer', () => client.text.endsWith('ok'));
  await until('the first account is disposed of', () => accounts[0]?.isDisposed === true);
  client.socket.write(get('/held') + get('/ahead'));
  await until('the second request is complete', () => accounts[1]?.isComplete === true);
  assert.ok((accounts[1]?.heapBytes ?? 0) > 0);
  assert.equal(accounts[1]?.receivedBytes, get('/ahead').length);
  client.socket.destroy();
  await until('all are disposed of', () => accounts.every(({ isDisposed }) => isDisposed));
  assert.equal(accounts.length, 2);
});

// Guards against callers that keep a connection and an answer by reading nothing.
test('a connection whose peer reads nothing is closed, and one that is read is not', async (t) => {
  const timer = new VirtualTimer();
  const { state, open } = await startServer(
    t,
    (_, response) => response.end(Buffer.alloc(32 * 1024 * 1024, 'x')),
    timer,
  );
  const silent = open();
  const slow = open();
  for (const { socket } of [silent, slow]) {
    socket.pause();
    socket.write(get('/'));
  }
  for (let round = 0; round < 4; round += 1) {
    for (let read = 0; read < 50; read += 1) {
      slow.socket.read(64 * 1024);
      await nextTurn();
    }
    timer.advance(16_000);
    await nextTurn();
  }
  await until('the silent one is closed', () => state.unread === 1);
  assert.ok(!slow.isClosed);
});

// Guards against a refused body that is read on without end, and chunk by chunk.
test('the rest of a refused body is thrown away up to a limit', async (t) => {
  const { state, open } = await startServer(t, () => {});
  const client = open();
  client.socket.write('POST /refused HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n');
  const piece = '1\r\nx\r\n'.repeat(1000);
  for (let bytes = 0; bytes <= MAX_DISCARDED_BYTES; bytes += piece.length) {
    assert.ok(!client.isClosed);
    client.socket.write(piece);
    await nextTurn();
  }
  await until('the connection is closed', () => client.isClosed);
  assert.equal(state.chunks, 0);
});

// Guards against a response that a reset hides from a peer that is still sending.
test('a response before the end of its request reaches a peer that sends on', async (t) => {
  const { open } = await startServer(t, () => {});
  const client = open();
  let hasFailed = false;
  client.socket.on('error', () => {
    hasFailed = true;
  });
  client.socket.write('POST /closed HTTP/1.1\r\nHost: a\r\nContent-Length: 2000000\r\n\r\n');
  for (let piece = 0; piece < 20; piece += 1) {
    client.socket.write(Buffer.alloc(100_000, 'x'));
    await nextTurn();
  }
  await until('the connection is closed', () => client.isClosed);
  assert.match(client.text, /^HTTP\/1\.1 413 .*no$/s);
  assert.ok(!hasFailed);
});
