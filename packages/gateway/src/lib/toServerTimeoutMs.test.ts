import assert from 'node:assert/strict';
import { Socket } from 'node:net';
import { test } from 'node:test';
import fc from 'fast-check';
import { toServerTimeoutMs } from './toServerTimeoutMs';

test('every positive timeout becomes one that sockets and servers accept', () => {
  const property = fc.property(fc.double({ min: Number.MIN_VALUE, noNaN: true }), (timeoutMs) => {
    const result = toServerTimeoutMs(timeoutMs);
    assert.ok(Number.isInteger(result) && result >= 1);
    new Socket().setTimeout(result).setTimeout(0);
  });
  fc.assert(property, { seed: 1 });
});
