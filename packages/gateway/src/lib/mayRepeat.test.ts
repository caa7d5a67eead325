import assert from 'node:assert/strict';
import { test } from 'node:test';
import { mayRepeat, type RepeatInput } from './mayRepeat';

function input(given: Partial<RepeatInput>): RepeatInput {
  return {
    kind: 'once',
    isResumable: false,
    isNotRun: false,
    sends: 1,
    maxAttempts: 2,
    misses: 0,
    leftMs: 1000,
    ...given,
  };
}

test('what may have run is repeated only if its kind allows it', () => {
  assert.equal(mayRepeat(input({ kind: 'once' })), false);
  assert.equal(mayRepeat(input({ kind: 'stream' })), false);
  assert.equal(mayRepeat(input({ kind: 'stream', isResumable: true })), true);
  assert.equal(mayRepeat(input({ kind: 'repeatable' })), true);
});

test('what is proved not to have run goes elsewhere, whatever its kind', () => {
  assert.equal(mayRepeat(input({ kind: 'once', isNotRun: true })), true);
});

test('attempts, misses and time are bounded', () => {
  const repeatable = { kind: 'repeatable' } as const;
  assert.equal(mayRepeat(input({ ...repeatable, sends: 2 })), false);
  assert.equal(mayRepeat(input({ ...repeatable, misses: 6 })), false);
  assert.equal(mayRepeat(input({ ...repeatable, leftMs: 10 })), false);
});
