import assert from 'node:assert/strict';
import test from 'node:test';
import { asId } from '@berylwood/base';
import fc from 'fast-check';
import { FairQueue, type QueueItem } from './FairQueue';

interface Item extends QueueItem {
  readonly name: string;
}

const createItem = (workspace: string, share = 1, work = 100, startBy = 1_000): Item => ({
  name: `${workspace} ${work} ${startBy}`,
  workspace: asId(workspace),
  share,
  work,
  startBy,
  isWaiting: true,
});

function serve(queue: FairQueue<Item>, now: number): Item {
  const item = queue.peek(now) as Item;
  item.isWaiting = false;
  queue.remove(item);
  queue.charge(item.workspace, item.share, item.work);
  return item;
}

test('divides the work by share for any size and number of items', () => {
  const sizes = fc.array(fc.integer({ min: 1, max: 500 }), { minLength: 3, maxLength: 3 });
  fc.assert(
    fc.property(sizes, ([a = 1, b = 1, c = 1]) => {
      const queue = new FairQueue<Item>();
      const workspaces = {
        a: { share: 1, work: a },
        b: { share: 2, work: b },
        c: { share: 4, work: c },
      };
      for (const [name, { share, work }] of Object.entries(workspaces)) {
        for (let i = 0; i < 100_000 / work; i += 1) queue.add(createItem(name, share, work));
      }
      const served = new Map<string, number>();
      let total = 0;
      while (total < 70_000) {
        const { workspace, work } = serve(queue, 0);
        served.set(workspace, (served.get(workspace) ?? 0) + work);
        total += work;
      }
      for (const [name, { share, work }] of Object.entries(workspaces)) {
        const fair = (total * share) / 7;
        assert.ok(Math.abs((served.get(name) ?? 0) - fair) <= 2 * work + 4 * 500, name);
      }
    }),
    { seed: 1, numRuns: 20 },
  );
});

test('serves a workspace earliest deadline first, late items last', () => {
  const queue = new FairQueue<Item>();
  for (const startBy of [300, 50, 200]) queue.add(createItem('a', 1, 100, startBy));
  const order = [1, 2, 3].map(() => serve(queue, 100).startBy);
  assert.deepEqual(order, [200, 300, 50]);
  assert.deepEqual([queue.waiting, queue.backlog], [0, 0]);
});

test('serves a late item once its workspace lags too far behind', () => {
  const queue = new FairQueue<Item>();
  queue.add(createItem('late', 1, 100, 0));
  for (let i = 0; i < 100; i += 1) queue.add(createItem('flood', 1, 100, 1_000));
  let before = 0;
  while (serve(queue, 500).workspace !== 'late') before += 1;
  assert.ok(before >= 5 && before <= 10, `${before}`);
});

test('sheds the youngest item of the workspace with the largest backlog relative to its share', () => {
  const queue = new FairQueue<Item>();
  queue.add(createItem('large', 4, 300));
  queue.add(createItem('small', 1, 100, 1));
  queue.add(createItem('small', 1, 101, 2));
  assert.equal(queue.nextToShed()?.name, 'small 101 2');
});
