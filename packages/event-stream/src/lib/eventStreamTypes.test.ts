import assert from 'node:assert/strict';
import { test } from 'node:test';
import { isEventStream } from './isEventStream';

const EVENT_STREAM = 'text/event-stream';

// Guards against a body whose reader takes it for something else than we do.
for (const [value, expected] of [
  [EVENT_STREAM, true],
  [' text/event-stream ', true],
  ['Text/Event-Stream;charset=UTF-8', true],
  ['text/event-stream; charset="utf-8"', true],
  ['text/event-streams', false],
  ['text/event-stream, text/html', false],
  ['text/event-stream; a=b, text/html', false],
  ['text/event-stream; charset=utf-16le', false],
  ['text/event-stream; charset=utf-7', false],
] as const) {
  test(`a body of the type "${value}" is ${expected ? 'a' : 'no'} stream of events for every reader`, () => {
    assert.equal(isEventStream(['Content-Type', value]), expected);
  });
}
