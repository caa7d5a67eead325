import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RotatingBatch } from './RotatingBatch';

test('a list within the bound is taken whole each time', () => {
  const batch = new RotatingBatch(3);
  assert.deepEqual(batch.take(['a', 'b']).sort(), ['a', 'b']);
  assert.deepEqual(batch.take(['a', 'b']).sort(), ['a', 'b']);
  assert.deepEqual(batch.take([]), []);
});

test('each item of a longer list is taken equally often', () => {
  const items = Array.from({ length: 300 }, (_, index) => index);
  const batch = new RotatingBatch(100);
  const taken = [batch.take(items), batch.take(items), batch.take(items)];
  assert.deepEqual(
    taken.map(({ length }) => length),
    [100, 100, 100],
  );
  assert.deepEqual(
    taken.flat().sort((a, b) => a - b),
    items,
  );
});
