import assert from 'node:assert/strict';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { test } from 'node:test';
import { Failure } from '@berylwood/base';
import { requestCodes } from '@berylwood/schema';
import { readEventStream } from '@berylwood/testing';
import { ResponseWriter } from './ResponseWriter';

// Guards against an event that its engine did not finish, and that a caller's reader takes for a whole one.
test('a stream that fails inside an event ends without the rest of it', async (t) => {
  const server = createServer((_, response) => {
    const writer = new ResponseWriter(response);
    writer.head(200, { 'content-type': 'text/event-stream' });
    writer.data(0, Buffer.from('id: 1\ndata: piece 1\n\nid: 2\ndata: pie'));
    writer.fail(new Failure(requestCodes.endpointFailed, 'broken'));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.after(() => server.close());
  const { port } = server.address() as AddressInfo;
  const answer = await fetch(`http://127.0.0.1:${port}/`);
  const events = readEventStream(Buffer.from(await answer.arrayBuffer()));
  const pieces = events.filter(({ data }) => !data.startsWith('{"error"'));
  assert.deepEqual(
    pieces.map(({ data }) => data),
    ['piece 1'],
  );
});
