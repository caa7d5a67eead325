import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Random, asId } from '@berylwood/base';
import { RepeatBudgets } from './RepeatBudgets';

const POOL = asId<'pool'>('pool');
const BOUNDS = { ratio: 0.2, slack: 60 };

function takeAll(budgets: RepeatBudgets): number {
  const random = new Random(1);
  let taken = 0;
  while (budgets.take(POOL, 1, 10_000, random) !== undefined) taken += 1;
  return taken;
}

test('all instances together stay within the bound when every request fails', () => {
  const instances = 7;
  const requests = 100;
  let repeats = 0;
  for (let instance = 0; instance < instances; instance += 1) {
    const budgets = new RepeatBudgets(BOUNDS, () => instances);
    for (let request = 0; request < requests; request += 1) {
      budgets.arrived(POOL);
      if (budgets.take(POOL, 1, 10_000, new Random(request)) !== undefined) repeats += 1;
    }
  }
  assert.ok(repeats <= BOUNDS.ratio * requests * instances + BOUNDS.slack);
});

test('a budget is divided anew once the instances are known', () => {
  let instances = 64;
  const budgets = new RepeatBudgets(BOUNDS, () => instances);
  assert.equal(takeAll(budgets), 1);
  instances = 7;
  assert.equal(takeAll(budgets), 6);
});
