import assert from 'node:assert/strict';
import { test } from 'node:test';
import { checkAtMostOnce } from './checkAtMostOnce';
import { createRun } from './fixtures';

test('single runs pass, and idempotent requests may run twice', () => {
  const runs = [createRun(), createRun({ digest: 'd2' }), createRun({ digest: 'd2' })];
  assert.deepEqual(checkAtMostOnce(['d1'], runs), []);
});

test('a second run is found, at the same endpoint and at another', () => {
  const same = [createRun(), createRun()];
  const other = [createRun(), createRun({ endpoint: 'engine-2' })];
  assert.equal(checkAtMostOnce(['d1'], same).length, 1);
  assert.equal(checkAtMostOnce(['d1'], other).length, 1);
});
