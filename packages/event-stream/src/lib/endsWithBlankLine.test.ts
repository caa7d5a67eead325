import assert from 'node:assert/strict';
import { test } from 'node:test';
import { endsWithBlankLine } from './endsWithBlankLine';

test('a blank line is found after each end of a line', () => {
  for (const end of ['\n\n', '\r\r', '\r\n\r\n', '\n\r', '\n\r\n', '\r\n\n', '\r\n\r']) {
    assert.equal(endsWithBlankLine(Buffer.from(`data: a${end}`)), true, JSON.stringify(end));
  }
});

test('an end of a line alone is no blank line', () => {
  for (const end of ['', '\n', '\r', '\r\n', '\n\n ', '\n ', '\n\r\nx']) {
    assert.equal(endsWithBlankLine(Buffer.from(`data: a${end}`)), false, JSON.stringify(end));
  }
});
