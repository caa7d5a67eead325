import assert from 'node:assert/strict';
import { connect, type Socket } from 'node:net';
import { test, type TestContext } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { until } from '@berylwood/testing';
import { createStreamGateway } from '../fixtures/streamGateway';

/** More than all socket buffers between the endpoint and a caller on loopback. */
const BODY_BYTES = 48 * 1024 * 1024;

const PIECE = Buffer.alloc(256 * 1024, 'x');

/** Time for which an endpoint can wait at most, in milliseconds, with some for a busy machine. */
const MAX_STALL_MS = 4000;

/** Starts a gateway whose endpoint sends a long response, and a caller that does not read yet. */
async function startLongResponse(t: TestContext) {
  const gateway = await createStreamGateway();
  t.after(() => gateway[Symbol.asyncDispose]());
  const state = { hasEndpointEnded: false, longestStallMs: 0 };
  gateway.play((socket: Socket) => {
    socket.on('close', () => {
      state.hasEndpointEnded = true;
    });
    socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${BODY_BYTES}\r\n\r\n`);
    let left = BODY_BYTES / PIECE.length;
    const send = (): void => {
      const startedAt = performance.now();
      left -= 1;
      socket.write(PIECE, () => {
        state.longestStallMs = Math.max(state.longestStallMs, performance.now() - startedAt);
        if (left > 0) send();
      });
    };
    send();
  });
  const [host = '', port] = gateway.address.split(':');
  const caller = connect(Number(port), host);
  t.after(() => caller.destroy());
  caller.on('error', () => {});
  caller.pause();
  caller.write('GET /plain/1 HTTP/1.1\r\nHost: streams\r\n\r\n');
  return { state, caller };
}

// Guards against an endpoint's response that stays unread because its caller reads nothing.
test('a caller that reads nothing is cut, and its endpoint is not left waiting', async (t) => {
  const { state } = await startLongResponse(t);
  await until('the endpoint is free', () => state.hasEndpointEnded);
  assert.ok(state.longestStallMs < MAX_STALL_MS, `unread for ${state.longestStallMs} ms`);
});

// Guards against a caller that is cut although it reads, if slowly.
test('a caller that reads slowly gets the whole response', async (t) => {
  const { state, caller } = await startLongResponse(t);
  const received = { bytes: 0 };
  caller.on('data', (chunk) => {
    received.bytes += chunk.length;
  });
  // On a fast machine, fewer rounds read everything.
  for (let round = 0; round < 10 && received.bytes < BODY_BYTES; round += 1) {
    caller.pause();
    await sleep(700);
    const before = received.bytes;
    caller.resume();
    await until('some bytes were read', () => received.bytes > before);
  }
  caller.resume();
  await until('the whole response was read', () => received.bytes > BODY_BYTES);
  assert.ok(state.longestStallMs < MAX_STALL_MS, `unread for ${state.longestStallMs} ms`);
});
