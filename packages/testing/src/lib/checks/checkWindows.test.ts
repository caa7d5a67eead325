import assert from 'node:assert/strict';
import { test } from 'node:test';
import { checkWindows } from './checkWindows';
import { createHistory } from './fixtures';

test('a window that is reported again with the same bytes passes', () => {
  const report = { window: 'w1', digest: 'a' };
  const history = createHistory('usage', report, report, { window: 'w2', digest: 'b' });
  assert.deepEqual(checkWindows(history), []);
});

test('a window with two figures is found', () => {
  const reports = ['a', 'b', 'a'].map((digest) => ({ window: 'w1', digest }));
  assert.equal(checkWindows(createHistory('usage', ...reports)).length, 1);
});
