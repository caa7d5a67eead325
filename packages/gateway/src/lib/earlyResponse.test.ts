import assert from 'node:assert/strict';
import type { Socket } from 'node:net';
import { test, type TestContext } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import {
  createAttemptParts,
  createOutgoingRequest,
  createRawEndpoint,
} from '../fixtures/rawEndpoint';
import { Attempt, type AttemptEnd } from './Attempt';

/** Larger than the buffers of a loopback connection, so that the upload is still being written. */
const UPLOAD_BYTES = 16 * 1024 * 1024;

const EARLY_HEAD = 'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n';

interface Outcome {
  readonly end: AttemptEnd;
  readonly hasHead: boolean;
}

async function send(t: TestContext, answer: (socket: Socket) => void): Promise<Outcome> {
  const { endpoint, close } = await createRawEndpoint((socket, count) => {
    // The rest of the upload stays unread.
    socket.pause();
    if (count === 1) answer(socket);
  });
  t.after(close);
  const body = Buffer.alloc(UPLOAD_BYTES, 'x');
  const headers = ['Host', 'x', 'Content-Length', String(body.length)];
  const outgoing = { ...createOutgoingRequest(), method: 'POST', headers, body };
  return new Promise((resolve) => {
    let hasHead = false;
    const listener = {
      onHead: () => {
        hasHead = true;
      },
      onData: () => true,
      onEnd: (end: AttemptEnd) => resolve({ end, hasHead }),
    };
    new Attempt(endpoint, outgoing, listener, createAttemptParts()).resume();
  });
}

for (const connection of ['Connection: close\r\n', '']) {
  for (const delayMs of [0, 50]) {
    // Guards against a part of a body that its caller takes for all of it.
    test(`a reset ${delayMs} ms after an early response completes nothing (${connection.trim()})`, async (t) => {
      const { end } = await send(t, (socket) => {
        socket.write(`${EARLY_HEAD}${connection}\r\npart of the body`);
        sleep(delayMs)
          .then(() => socket.resetAndDestroy())
          .catch(assert.fail);
      });
      assert.equal(end.type, 'broken');
    });
  }
}

for (const status of ['000', '001', '099', '600']) {
  // Guards against a head that is no response and reaches the caller.
  test(`an early response with status ${status} is none`, async (t) => {
    const { end, hasHead } = await send(t, (socket) => {
      socket.write(`HTTP/1.1 ${status} Trouble\r\nContent-Length: 1\r\n\r\nx`);
    });
    assert.equal(end.type, 'broken');
    assert.equal(hasHead, false);
  });
}
