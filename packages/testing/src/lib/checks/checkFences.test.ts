import assert from 'node:assert/strict';
import { test } from 'node:test';
import { checkFences } from './checkFences';
import { createHistory } from './fixtures';

test('growing fences pass, also when the receiver takes an order twice', () => {
  const repeated = { fence: 1, repeated: true };
  const history = createHistory('order', { fence: 1 }, { fence: 2 }, repeated, { fence: 2 });
  assert.deepEqual(checkFences('platform', history), []);
});

test('an older order after a newer is found, refused or not', () => {
  for (const refused of [true, false]) {
    const history = createHistory('order', { fence: 3 }, { fence: 2, refused }, { fence: 3 });
    assert.equal(checkFences('engine-1', history).length, 1);
  }
});

test('an older usage report after a newer order is found', () => {
  const orders = createHistory('order', { fence: 3 });
  const reports = createHistory('usage', { fence: 2, window: 'w1' });
  assert.equal(checkFences('platform', [...orders, ...reports]).length, 1);
});

test('a body that the network held passes as a repeat only', () => {
  const held = { fence: 1, order: 'a', headAt: 0 };
  const repeat = createHistory('order', { fence: 2, order: 'a' }, held);
  assert.deepEqual(checkFences('platform', repeat), []);
  const first = createHistory('order', { fence: 2, order: 'b' }, held);
  assert.equal(checkFences('platform', first).length, 1);
  const late = { ...held, headAt: Number.MAX_SAFE_INTEGER };
  const sentLate = createHistory('order', { fence: 2, order: 'a' }, late);
  assert.equal(checkFences('platform', sentLate).length, 1);
});
