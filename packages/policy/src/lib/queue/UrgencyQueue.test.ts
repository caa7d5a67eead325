import assert from 'node:assert/strict';
import test from 'node:test';
import { asId } from '@berylwood/base';
import { UrgencyQueue, type RankedItem } from './UrgencyQueue';

const createItem = (workspace: string, rank = 0): RankedItem => ({
  workspace: asId(workspace),
  rank,
  share: 1,
  work: 1,
  startBy: 1000,
  isWaiting: true,
});

test('urgent requests are served before others that have waited longer', () => {
  const queue = new UrgencyQueue<RankedItem>();
  const items = [createItem('a', 2), createItem('a', 0), createItem('a', 1)];
  for (const item of items) queue.add(item);
  assert.deepEqual(
    items.map(() => queue.take(0)?.rank),
    [0, 1, 2],
  );
  assert.equal(queue.take(0), undefined);
});

test('a small workspace is served beside one with many waiting requests', () => {
  const queue = new UrgencyQueue<RankedItem>();
  for (let number = 0; number < 50; number += 1) queue.add(createItem('large'));
  for (let number = 0; number < 3; number += 1) queue.take(0);
  queue.add(createItem('small'));
  const next = [queue.take(0), queue.take(0), queue.take(0)].map((item) => item?.workspace);
  assert.ok(next.includes(asId('small')));
});

test('a request that has left is neither counted nor served', () => {
  const queue = new UrgencyQueue<RankedItem>();
  const item = createItem('a', 1);
  queue.add(item);
  assert.equal(queue.countAhead(1), 1);
  assert.equal(queue.countAhead(0), 0);
  queue.remove(item);
  queue.remove(item);
  assert.equal(queue.countAhead(1), 0);
  assert.equal(queue.take(0), undefined);
});
