import assert from 'node:assert/strict';
import { connect } from 'node:net';
import { test, type TestContext } from 'node:test';
import { until } from '@berylwood/testing';
import { createStreamGateway } from '../fixtures/streamGateway';

/** Body limit of the gateway of the fixture, in bytes. */
const MAX_BODY_BYTES = 8192;

/** Interval at which a caller goes on sending, in milliseconds. */
const SEND_INTERVAL_MS = 20;

/** Sends the start of a request, and a chunk of the body at intervals if one is given. */
async function startRequest(t: TestContext, start: string, chunk = '') {
  const gateway = await createStreamGateway();
  t.after(() => gateway[Symbol.asyncDispose]());
  gateway.play((socket) => {
    socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok');
  });
  const [host = '', port] = gateway.address.split(':');
  const state = { text: '', hasEnded: false };
  const caller = connect(Number(port), host);
  const sending = setInterval(() => chunk && caller.write(chunk), SEND_INTERVAL_MS);
  t.after(() => {
    clearInterval(sending);
    caller.destroy();
  });
  caller.on('error', () => {});
  caller.on('data', (bytes) => {
    state.text += bytes.toString('latin1');
  });
  caller.on('close', () => {
    state.hasEnded = true;
  });
  caller.write(`POST /plain/1 HTTP/1.1\r\nHost: streams\r\n${start}`);
  return state;
}

// Guards against reading a body whose head says that it is too large.
test('a body that is declared to be over the limit is rejected from the head', async (t) => {
  const state = await startRequest(t, `Content-Length: ${MAX_BODY_BYTES + 1}\r\n\r\n`);
  await until('the response has come', () => state.text.includes('"not_run":true'));
  assert.match(state.text, /^HTTP\/1\.1 413 /);
  assert.match(state.text, /^connection: close$/im);
  await until('the connection has ended', () => state.hasEnded, 5000);
});

// Guards against a connection that goes on for as long as its client sends.
test('the connection of a rejected request ends while its client goes on sending', async (t) => {
  const start = `Transfer-Encoding: chunked\r\n\r\n2001\r\n${'x'.repeat(MAX_BODY_BYTES + 1)}\r\n`;
  const state = await startRequest(t, start, '1\r\nx\r\n');
  await until('the connection has ended', () => state.hasEnded, 5000);
  assert.match(state.text, /^HTTP\/1\.1 413 /);
});

// Guards against a limit that a body of exactly the limit meets.
test('a body of exactly the limit is not rejected', async (t) => {
  // The fixture's endpoint answers a request that ends with an empty line.
  const body = `${'x'.repeat(MAX_BODY_BYTES - 4)}\r\n\r\n`;
  const state = await startRequest(t, `Content-Length: ${MAX_BODY_BYTES}\r\n\r\n${body}`);
  await until('the response has come', () => state.text.endsWith('ok'));
  assert.match(state.text, /^HTTP\/1\.1 200 /);
});
