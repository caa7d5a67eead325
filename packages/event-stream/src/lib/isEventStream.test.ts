import assert from 'node:assert/strict';
import { test } from 'node:test';
import { isEventStream } from './isEventStream';

test('a body is a stream of events if each of its types says so and it is not encoded', () => {
  const stream = ['Content-Type', 'Text/Event-Stream; charset=utf-8'];
  assert.equal(isEventStream(stream), true);
  assert.equal(isEventStream([...stream, 'content-encoding', 'identity']), true);
  assert.equal(isEventStream([...stream, 'content-encoding', 'gzip']), false);
  assert.equal(isEventStream([...stream, 'content-type', 'text/plain']), false);
  assert.equal(isEventStream(['content-type', 'text/event-streamx']), false);
  assert.equal(isEventStream([]), false);
});
