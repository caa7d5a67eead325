import assert from 'node:assert/strict';
import { test } from 'node:test';
import { checkNotRun } from './checkNotRun';
import { createCaller, createRefusal, createRun } from './fixtures';

test('a refused request that ran nowhere passes, also when a resent one ran', () => {
  assert.deepEqual(checkNotRun([createRefusal()], [createRun({ digest: 'other' })]), []);
  assert.deepEqual(checkNotRun([createRefusal(), createCaller()], [createRun()]), []);
});

test('a run of a request that was refused as not run is found', () => {
  assert.equal(checkNotRun([createRefusal()], [createRun()]).length, 1);
  assert.equal(checkNotRun([createRefusal(), createRefusal()], [createRun()]).length, 1);
});
