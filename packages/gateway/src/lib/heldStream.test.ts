import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { createStreamGateway } from '../fixtures/streamGateway';

const PATIENCE_MS = 2000;

const STREAM_HEAD = 'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n';

const FAILURE_HEAD = 'HTTP/1.1 500 Internal Server Error\r\nContent-Length: 6\r\n\r\n';

// Guards against a failure that is kept from its caller like the first event of a stream before it.
test('a failure after a stream that broke before its first event reaches its caller', async (t) => {
  const gateway = await createStreamGateway();
  t.after(() => gateway[Symbol.asyncDispose]());
  const { status, body, end } = await gateway.call(
    async (socket, { attempt }) => {
      if (attempt > 0) {
        socket.write(`${FAILURE_HEAD}fai`);
        await sleep(20);
        socket.write('led');
        return;
      }
      socket.write(STREAM_HEAD);
      await sleep(20);
      socket.resetAndDestroy();
    },
    {
      isResumable: true,
      lastEventId: 0,
      patience: () => sleep(PATIENCE_MS, undefined, { ref: false }),
    },
  );
  assert.deepEqual([status, body.toString(), end], [500, 'failed', 'whole']);
});

// Guards against events that were ready and are lost with the connection whose end shows the cut.
test('sound events before foreign bytes in one read reach their caller although it is cut', async (t) => {
  const gateway = await createStreamGateway();
  t.after(() => gateway[Symbol.asyncDispose]());
  const sound = 'id: 1\ndata: a\n\n';
  const { status, body, end } = await gateway.call(
    (socket) => {
      socket.write(`${STREAM_HEAD}${sound}id: 2\ndata: b\n\nno event\n\n`);
    },
    {
      isResumable: false,
      lastEventId: 0,
      patience: () => sleep(PATIENCE_MS, undefined, { ref: false }),
    },
  );
  assert.deepEqual([status, body.toString(), end], [200, sound, 'cut']);
});
