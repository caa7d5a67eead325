import assert from 'node:assert/strict';
import { connect } from 'node:net';
import { test, type TestContext } from 'node:test';
import { SystemTimer, createSilentJournal } from '@berylwood/base';
import { until } from '@berylwood/testing';
import { ok } from 'neverthrow';
import { z } from 'zod';
import { splitAddress } from './address';
import { Dialer } from './Dialer';
import type { InputAccount } from './InputBudget';
import type { Link } from './Link';
import { LinkServer } from './LinkServer';
import { ReadScheduler } from './ReadScheduler';

const LARGE_BYTES = 1024 * 1024;

/** A server with limits on its connections, which counts the requests that it holds. */
async function startServer(t: TestContext) {
  const timer = new SystemTimer();
  const state = { held: 0 };
  const server = new LinkServer();
  const options = { timer, journal: createSilentJournal(timer), schema: z.string() };
  server.accept<string, string>('/text', options, (link) => {
    link.onCall = async (message) => ok(message.length);
  });
  const open = (onEnd: () => void): InputAccount => {
    let isDisposed = false;
    state.held += 1;
    return {
      onEnd,
      move: () => {},
      receive: () => {},
      reserve: () => {},
      resize: () => {},
      complete: () => {},
      end: () => {},
      [Symbol.dispose]: () => {
        if (!isDisposed) state.held -= 1;
        isDisposed = true;
      },
    };
  };
  const scheduler = new ReadScheduler(() => timer.now());
  server.limitConnections({ timer, scheduler, input: { open } }, () => {});
  const address = await server.listen('127.0.0.1:0');
  t.after(() => server.close());
  return { state, address, options };
}

// Guards against a link that loses its first bytes, or is read in slices, once it has left HTTP.
test('a link through a limited server carries large messages and is not counted', async (t) => {
  const { state, address, options } = await startServer(t);
  const dialer = new Dialer<string, string>({ ...options, addresses: [address], path: '/text' });
  t.after(() => dialer[Symbol.dispose]());
  const opened = new Promise<Link<string, string>>((resolve) => {
    dialer.onLink = resolve;
  });
  dialer.open();
  const link = await opened;
  const reply = await link.call<number>('x'.repeat(LARGE_BYTES));
  assert.equal(reply.unwrapOr(0), LARGE_BYTES);
  assert.equal(state.held, 0);
});

// Guards against plain requests to the port of links that stay without an answer and keep what they sent.
test('a plain request is refused, and its connection is closed', async (t) => {
  const { state, address } = await startServer(t);
  const { host, port } = splitAddress(address);
  const socket = connect(port, host);
  let text = '';
  let isClosed = false;
  socket.on('data', (chunk) => {
    text += chunk.toString();
  });
  socket.on('error', () => {});
  socket.on('close', () => {
    isClosed = true;
  });
  socket.write('POST /text HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n');
  socket.write('1\r\nx\r\n'.repeat(10_000));
  await until('the connection is closed', () => isClosed);
  assert.match(text, /^HTTP\/1\.1 426 /);
  await until('nothing is held', () => state.held === 0);
});
