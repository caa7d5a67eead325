import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  createAttemptParts,
  createOutgoingRequest,
  createRawEndpoint,
} from '../fixtures/rawEndpoint';
import { Attempt, type AttemptEnd } from './Attempt';
import type { ResponseHead } from './readResponseHead';
import type { Endpoint } from './Endpoint';

function send(endpoint: Endpoint): Promise<{ end: AttemptEnd; head?: ResponseHead; body: string }> {
  return new Promise((resolve) => {
    let head: ResponseHead | undefined;
    let body = '';
    const listener = {
      onHead: (given: ResponseHead) => {
        head = given;
      },
      onData: (chunk: Buffer) => {
        body += chunk.toString();
        return true;
      },
      onEnd: (end: AttemptEnd) => resolve({ end, head, body }),
    };
    const parts = createAttemptParts();
    // eslint-disable-next-line no-new -- the listener receives the result
    new Attempt(endpoint, createOutgoingRequest(), listener, parts);
  });
}

test('a response without a length is complete when the connection is closed normally', async () => {
  const { endpoint, close } = await createRawEndpoint((socket) => {
    socket.end('HTTP/1.1 200 OK\r\n\r\nwhole');
  });
  const { end, body } = await send(endpoint);
  assert.deepEqual(end, { type: 'complete' });
  assert.equal(body, 'whole');
  close();
});

test('a response without a length is broken when the connection is reset', async () => {
  const { endpoint, close } = await createRawEndpoint((socket) => {
    socket.write('HTTP/1.1 200 OK\r\n\r\nhalf', () => {
      setTimeout(() => socket.resetAndDestroy(), 50);
    });
  });
  const { end } = await send(endpoint);
  assert.equal(end.type, 'broken');
  close();
});

test('an attempt with a refused connection ends as unsent and ejects the endpoint', async () => {
  const { endpoint, close } = await createRawEndpoint(() => {});
  close();
  const { end } = await send(endpoint);
  assert.equal(end.type, 'unsent');
  assert.equal(endpoint.isUsable, false);
});

test('an attempt whose connection breaks after the request was sent ends as broken', async () => {
  const { endpoint, close } = await createRawEndpoint((socket) => socket.destroy());
  const { end } = await send(endpoint);
  assert.equal(end.type, 'broken');
  close();
});

// Guards against a success without a signature that reaches the caller.
test('a response that its endpoint has not signed is broken', async () => {
  const { endpoint, close } = await createRawEndpoint((socket) => {
    socket.write('HTTP/1.1 200 OK\r\nNot-Signed: 1\r\nContent-Length: 2\r\n\r\nok');
  });
  const { end, head } = await send(endpoint);
  assert.equal(end.type, 'broken');
  assert.equal(head, undefined);
  close();
});

// Guards against a reset that arrives together with data and looks like an orderly end.
test('a response without a length is broken when data and a reset arrive together', async () => {
  const { endpoint, close } = await createRawEndpoint((socket) => {
    socket.write('HTTP/1.1 200 OK\r\n\r\nhalf');
    socket.resetAndDestroy();
  });
  for (let round = 0; round < 50; round += 1) {
    const { end } = await send(endpoint);
    assert.equal(end.type, 'broken', `round ${round}`);
  }
  close();
});

// Guards against a reset that is missed once a connection has served an earlier response.
test('a response on a kept connection is broken when data and a reset arrive together', async () => {
  const { endpoint, connections, close } = await createRawEndpoint((socket, count) => {
    if (count % 2 === 1) {
      socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok');
      return;
    }
    socket.write('HTTP/1.1 200 OK\r\n\r\nhalf');
    socket.resetAndDestroy();
  });
  for (let round = 0; round < 50; round += 1) {
    assert.equal((await send(endpoint)).end.type, 'complete', `round ${round}`);
    // The agent gets the connection back after the end of the response.
    await new Promise(setImmediate);
    assert.equal((await send(endpoint)).end.type, 'broken', `round ${round}`);
  }
  assert.equal(connections(), 50);
  close();
});
