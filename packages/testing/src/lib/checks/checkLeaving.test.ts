import assert from 'node:assert/strict';
import { test } from 'node:test';
import { checkLeaving } from './checkLeaving';
import { createRun } from './fixtures';

test('work before the limit, and work of other endpoints, passes', () => {
  const runs = [createRun({ at: 3000 }), createRun({ endpoint: 'engine-2', at: 9000 })];
  assert.deepEqual(checkLeaving(runs, new Map([['engine-1', 1000]]), 3000), []);
});

test('new work of a leaving endpoint is found', () => {
  const runs = [createRun({ at: 4001 })];
  assert.equal(checkLeaving(runs, new Map([['engine-1', 1000]]), 3000).length, 1);
});
