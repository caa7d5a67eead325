import assert from 'node:assert/strict';
import { createServer, type AddressInfo, type Socket } from 'node:net';
import { test, type TestContext } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import type { Dispatch } from '@berylwood/schema';
import { SinkRecord, TEST_TIMEOUT } from '../fixtures/scriptedRun';
import { EngineEndpoint } from './EngineEndpoint';
import { ServiceEndpoint } from './ServiceEndpoint';

/** Larger than the buffers of a loopback connection, so that the upload is still being written. */
const UPLOAD_BYTES = 16 * 1024 * 1024;

/** Time for which the partial body travels before the reset, in milliseconds; at 0 they arrive together. */
const RESET_DELAYS_MS = [0, 50];

const ENDPOINTS = {
  service: (address: string) => new ServiceEndpoint(address, 4),
  engine: (address: string) => new EngineEndpoint(address, 4),
};

/** Listens on a loopback address and answers the first bytes of each connection. */
async function listen(
  t: TestContext,
  answer: (socket: Socket) => void | Promise<void>,
): Promise<string> {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => {});
    socket.once('data', () => {
      // The rest of the upload stays unread.
      socket.pause();
      Promise.resolve(answer(socket)).catch(assert.fail);
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.after(() => {
    server.close();
    for (const socket of sockets) socket.destroy();
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

interface Outcome {
  readonly sink: SinkRecord;
  readonly isComplete: boolean;
}

async function run(
  t: TestContext,
  kind: keyof typeof ENDPOINTS,
  answer: (socket: Socket) => void | Promise<void>,
  body: Buffer,
): Promise<Outcome> {
  const endpoint = ENDPOINTS[kind](await listen(t, answer));
  t.after(() => endpoint[Symbol.dispose]());
  const dispatch: Partial<Dispatch> = {
    attempt: 'run-1' as Dispatch['attempt'],
    tier: 1,
    method: 'POST',
    path: '/v1/completions',
    headers: { 'content-type': 'application/octet-stream' },
    body,
    idempotent: false,
  };
  const sink = new SinkRecord();
  try {
    await endpoint.run(dispatch as Dispatch, sink, new AbortController().signal);
    return { sink, isComplete: true };
  } catch {
    return { sink, isComplete: false };
  }
}

const KINDS = Object.keys(ENDPOINTS) as (keyof typeof ENDPOINTS)[];

const EARLY_HEAD = 'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n';

for (const kind of KINDS) {
  for (const body of ['upload', 'empty'] as const) {
    for (const delayMs of RESET_DELAYS_MS) {
      // Guards against a part of a body that its caller takes for all of it.
      test(
        `a reset after ${delayMs} ms does not complete a response without a length (${kind}, ${body})`,
        TEST_TIMEOUT,
        async (t) => {
          const reset = async (socket: Socket): Promise<void> => {
            socket.write(`${EARLY_HEAD}part of the body`);
            if (delayMs > 0) await sleep(delayMs);
            socket.resetAndDestroy();
          };
          const bytes = Buffer.alloc(body === 'upload' ? UPLOAD_BYTES : 0, 'x');
          const { isComplete } = await run(t, kind, reset, bytes);
          assert.equal(isComplete, false);
        },
      );
    }
  }

  // Guards against rejecting the framing itself: an orderly end completes such a response.
  test(
    `a response without a length that ends in order is complete (${kind})`,
    TEST_TIMEOUT,
    async (t) => {
      const { isComplete, sink } = await run(
        t,
        kind,
        (socket) => {
          socket.end(`${EARLY_HEAD}whole`);
        },
        Buffer.from('x'),
      );
      assert.equal(isComplete, true);
      assert.equal(sink.bytes.toString(), 'whole');
    },
  );

  for (const status of ['000', '001', '099', '600', '999']) {
    // Guards against a head that is no response and reaches the caller, or ends the process that writes it.
    test(`a response with status ${status} is none (${kind})`, TEST_TIMEOUT, async (t) => {
      const head = `HTTP/1.1 ${status} Trouble\r\nContent-Type: text/plain\r\nContent-Length: 1\r\n\r\nx`;
      const { isComplete, sink } = await run(
        t,
        kind,
        (socket) => {
          socket.end(head);
        },
        Buffer.from('x'),
      );
      assert.equal(isComplete, false);
      assert.equal(sink.status, 0, 'the head was forwarded');
      assert.equal(sink.bytes.length, 0);
    });
  }
}
