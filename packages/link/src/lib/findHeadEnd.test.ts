import assert from 'node:assert/strict';
import { test } from 'node:test';
import { findHeadEnd } from './findHeadEnd';

const TEXT = 'GET / HTTP/1.1\r\nHost: a\r\n\r\nrest';

const END = TEXT.indexOf('rest');

// Guards against a head whose empty line is divided between two slices.
test('the end of a head is found wherever slices divide it', () => {
  for (let at = 0; at <= END; at += 1) {
    const before = Buffer.from(TEXT.slice(0, at));
    const end = findHeadEnd(before.subarray(-2), Buffer.from(TEXT.slice(at)));
    assert.equal(end, at === END ? -1 : END - at, `divided at ${at}`);
  }
});

test('an empty line may end with line feeds alone', () => {
  assert.equal(findHeadEnd(Buffer.alloc(0), Buffer.from('a: b\n\nc')), 6);
  assert.equal(findHeadEnd(Buffer.from('\n'), Buffer.from('\nc')), 1);
});

test('a line without an empty one after it is no end of a head', () => {
  assert.equal(findHeadEnd(Buffer.alloc(0), Buffer.from('a: b\r\nc: d\r\n')), -1);
  assert.equal(findHeadEnd(Buffer.alloc(0), Buffer.alloc(0)), -1);
});
