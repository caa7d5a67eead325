import assert from 'node:assert/strict';
import type { ServerResponse } from 'node:http';
import { test } from 'node:test';
import type { ResponseHead } from './readResponseHead';
import { ResponseRelay } from './ResponseRelay';
import { RESPONSE_LIMITS } from './responseLimits';
import type { Wire } from './Wire';

function createRelay({ isEventStream }: Pick<ResponseHead, 'isEventStream'>) {
  const written: string[] = [];
  const response = {
    useChunkedEncodingByDefault: true,
    req: { method: 'GET' },
    writeHead: () => {},
    write: (bytes: Buffer) => written.push(bytes.toString()) > 0,
  } as unknown as ServerResponse;
  const relay = new ResponseRelay(response, { responseHeaders: () => [] } as unknown as Wire);
  const metadata = {} as ResponseHead['metadata'];
  relay.setHead(
    {
      status: 200,
      rawHeaders: [],
      metadata,
      isEventStream,
      contentLength: undefined,
      hasBody: true,
      endsWithConnection: false,
    },
    false,
  );
  return { relay, written };
}

test('bytes of an incomplete event are neither forwarded nor counted as progress', () => {
  const { relay, written } = createRelay({ isEventStream: true });
  relay.push(Buffer.from('id: 1\ndata: a\n\n'));
  const { forwardedBytes } = relay;
  for (let count = 0; count < 100; count += 1) relay.push(Buffer.from('x'));
  assert.equal(relay.forwardedBytes, forwardedBytes);
  assert.deepEqual(written, ['id: 1\ndata: a\n\n']);
});

test('an event without end exceeds its limit', () => {
  const { relay } = createRelay({ isEventStream: true });
  relay.push(Buffer.alloc(RESPONSE_LIMITS.maxEventBytes, 'x'));
  assert.equal(relay.exceededLimit, undefined);
  relay.push(Buffer.from('x'));
  assert.equal(relay.exceededLimit, 'maxEventBytes');
});

test('a body without end exceeds its limit', () => {
  const { relay } = createRelay({ isEventStream: false });
  const chunk = Buffer.alloc(1024 * 1024, 'x');
  for (let bytes = 0; bytes < RESPONSE_LIMITS.maxBodyBytes; bytes += chunk.length) {
    relay.push(chunk);
    assert.equal(relay.exceededLimit, undefined);
  }
  relay.push(chunk);
  assert.equal(relay.exceededLimit, 'maxBodyBytes');
});
