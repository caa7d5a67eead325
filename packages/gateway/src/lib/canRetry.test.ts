import assert from 'node:assert/strict';
import { test } from 'node:test';
import { canRetry, type RetryState } from './canRetry';

function input(given: Partial<RetryState>): RetryState {
  return {
    kind: 'once',
    isResumable: false,
    isNotRun: false,
    sends: 1,
    maxAttempts: 2,
    connectErrors: 0,
    leftMs: 1000,
    ...given,
  };
}

test('a request that may have run is retried only if its kind allows it', () => {
  assert.equal(canRetry(input({ kind: 'once' })), false);
  assert.equal(canRetry(input({ kind: 'stream' })), false);
  assert.equal(canRetry(input({ kind: 'stream', isResumable: true })), true);
  assert.equal(canRetry(input({ kind: 'repeatable' })), true);
});

test('a request that has certainly not run is retried whatever its kind', () => {
  assert.equal(canRetry(input({ kind: 'once', isNotRun: true })), true);
});

test('attempts, connection errors and time are limited', () => {
  const repeatable = { kind: 'repeatable' } as const;
  assert.equal(canRetry(input({ ...repeatable, sends: 2 })), false);
  assert.equal(canRetry(input({ ...repeatable, connectErrors: 6 })), false);
  assert.equal(canRetry(input({ ...repeatable, leftMs: 10 })), false);
});
