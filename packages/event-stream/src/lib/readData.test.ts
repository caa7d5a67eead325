import assert from 'node:assert/strict';
import { test } from 'node:test';
import { readData } from './readData';

test('the data of an event is read with each end of a line', () => {
  for (const lineEnd of ['\n', '\r\n', '\r']) {
    const lines = [': data: x', 'data: a', 'event: token', 'data', 'data:b', 'data:  c', '', ''];
    assert.equal(readData(Buffer.from(lines.join(lineEnd))), 'a\n\nb\n c');
  }
});

test('the data of an event keeps the line separators that end no line of a stream', () => {
  assert.equal(readData(Buffer.from('data: a\u2028b\u0085c\n\n')), 'a\u2028b\u0085c');
});

test('an event without data has none', () => {
  assert.equal(readData(Buffer.from('database: x\nid: 1\n\n')), '');
});
