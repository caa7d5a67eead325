import assert from 'node:assert/strict';
import { createServer, request } from 'node:http';
import type { AddressInfo } from 'node:net';
import test, { type TestContext } from 'node:test';
import { Failure } from '@berylwood/base';
import { requestCodes } from '@berylwood/schema';
import { readEventStream } from '@berylwood/testing';
import { ResponseWriter } from './ResponseWriter';

const STREAM = { 'content-type': 'text/event-stream' };

interface Received {
  readonly bytes: Buffer;
  /** Whether the response ended as its framing says. */
  readonly isComplete: boolean;
}

/** Serves one response by a writer and resolves to what the caller received. */
async function receive(t: TestContext, write: (writer: ResponseWriter) => void): Promise<Received> {
  const server = createServer((_, response) => write(new ResponseWriter(response)));
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.after(() => server.close());
  const { port } = server.address() as AddressInfo;
  return new Promise((resolve, reject) => {
    const call = request({ port, host: '127.0.0.1', agent: false }, (response) => {
      const parts: Buffer[] = [];
      response.on('data', (part: Buffer) => parts.push(part));
      response.on('error', () => {});
      response.on('close', () =>
        resolve({ bytes: Buffer.concat(parts), isComplete: response.complete }),
      );
    });
    call.on('error', reject);
    call.end();
  });
}

function writeParts(writer: ResponseWriter, parts: readonly string[]): void {
  writer.head(200, STREAM);
  let offset = 0;
  for (const part of parts) {
    writer.data(offset, Buffer.from(part));
    offset += Buffer.byteLength(part);
  }
}

/** Calls for a keep-alive comment until the written bytes have been sent. */
function keepAlive(writer: ResponseWriter, then: () => void): void {
  setTimeout(() => {
    writer.keepAlive();
    writer.keepAlive();
    then();
  }, 20);
}

// Guards against a comment that splits an event, and against a quiet stream that shows no sign of life.
test('keep-alive comments stand between events only, whatever ends their lines', async (t) => {
  for (const lineEnd of ['\n', '\r\n', '\r']) {
    const event = `data: a${lineEnd}data: b${lineEnd}${lineEnd}`;
    for (let splitAt = 1; splitAt <= event.length; splitAt += 1) {
      const parts = [event.slice(0, splitAt), event.slice(splitAt)].filter(Boolean);
      const { bytes } = await receive(t, (writer) => {
        writeParts(writer, parts.slice(0, 1));
        keepAlive(writer, () => {
          if (parts[1]) writer.data(splitAt, Buffer.from(parts[1]));
          keepAlive(writer, () => writer.end());
        });
      });
      const label = `${JSON.stringify(lineEnd)} at ${splitAt}`;
      assert.deepEqual(
        readEventStream(bytes).map(({ data }) => data),
        ['a\nb'],
        label,
      );
      assert.match(bytes.toString(), /: keep-alive\n\n/, label);
    }
  }
});

test('a quiet stream gets comments in each spelling of its type', async (t) => {
  const { bytes } = await receive(t, (writer) => {
    writer.head(200, { 'content-type': 'Text/Event-Stream; charset=utf-8' });
    keepAlive(writer, () => writer.end());
  });
  assert.match(bytes.toString(), /^(?:: keep-alive\n\n)+$/);
});

test('a failure between events is an event of its own', async (t) => {
  for (const lineEnd of ['\n', '\r\n', '\r']) {
    const { bytes, isComplete } = await receive(t, (writer) => {
      writeParts(writer, [`data: a${lineEnd}${lineEnd}`]);
      writer.fail(new Failure(requestCodes.endpointFailed, 'x'));
    });
    const [first, second, ...others] = readEventStream(bytes).map(({ data }) => data);
    assert.equal(first, 'a');
    assert.match(second ?? '', /^\{"error":/);
    assert.deepEqual([others, isComplete], [[], true]);
  }
});

// Guards against an event that its endpoint did not finish and that a blank line before the error completed.
test('a failure inside an event breaks the connection, so that no reader takes the event', async (t) => {
  for (const part of ['data: a', 'data: a\n', 'data: a\r\n']) {
    const { bytes, isComplete } = await receive(t, (writer) => {
      writeParts(writer, ['data: b\n\n', part]);
      setTimeout(() => writer.fail(new Failure(requestCodes.endpointFailed, 'x')), 20);
    });
    assert.deepEqual(
      readEventStream(bytes).map(({ data }) => data),
      ['b'],
    );
    assert.equal(isComplete, false);
  }
});

test('nothing is added to a stream that states its length', async (t) => {
  const event = 'data: a\n\n';
  const { bytes, isComplete } = await receive(t, (writer) => {
    writer.head(200, { ...STREAM, 'content-length': `${2 * event.length}` });
    writer.data(0, Buffer.from(event));
    keepAlive(writer, () => writer.fail(new Failure(requestCodes.endpointFailed, 'x')));
  });
  assert.deepEqual([bytes.toString(), isComplete], [event, false]);
});
