import assert from 'node:assert/strict';
import { test } from 'node:test';
import { checkWaits } from './checkWaits';
import { createCaller, createRefusal, createRun } from './fixtures';

const MAXIMA = new Map([['chat', 3000]]);

test('a request that ran or was refused in time passes, however long it ran', () => {
  const long = createCaller({ endedAt: 90_000 });
  assert.deepEqual(checkWaits([long], [createRun()], MAXIMA), []);
  assert.deepEqual(checkWaits([createRefusal({ digest: 'd2' })], [], MAXIMA), []);
});

test('a request that ran, or was refused, too late is found', () => {
  assert.equal(checkWaits([createCaller()], [createRun({ at: 6000 })], MAXIMA).length, 1);
  assert.equal(checkWaits([createRefusal({ endedAt: 6000 })], [], MAXIMA).length, 1);
});
