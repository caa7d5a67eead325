import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Random, asId } from '@berylwood/base';
import { RetryBudgets } from './RetryBudgets';

const POOL = asId<'pool'>('pool');
const LIMITS = { ratio: 0.2, slack: 60 };

function takeAll(budgets: RetryBudgets): number {
  const random = new Random(1);
  let taken = 0;
  while (budgets.take(POOL, 1, 10_000, random) !== undefined) taken += 1;
  return taken;
}

test('all instances together stay within the limits when every request fails', () => {
  const instances = 7;
  const requests = 100;
  let retries = 0;
  for (let instance = 0; instance < instances; instance += 1) {
    const budgets = new RetryBudgets(LIMITS, () => instances);
    for (let request = 0; request < requests; request += 1) {
      budgets.recordRequest(POOL);
      if (budgets.take(POOL, 1, 10_000, new Random(request)) !== undefined) retries += 1;
    }
  }
  assert.ok(retries <= LIMITS.ratio * requests * instances + LIMITS.slack);
});

test('a budget is resized when the number of instances is known', () => {
  let instances = 64;
  const budgets = new RetryBudgets(LIMITS, () => instances);
  assert.equal(takeAll(budgets), 1);
  instances = 7;
  assert.equal(takeAll(budgets), 6);
});
