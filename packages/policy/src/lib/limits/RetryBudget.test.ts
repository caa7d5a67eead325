import assert from 'node:assert/strict';
import test from 'node:test';
import { Random } from '@berylwood/base';
import fc from 'fast-check';
import { RetryBudget } from './RetryBudget';

test('retries never exceed the share of the traffic and the burst', () => {
  fc.assert(
    fc.property(fc.array(fc.boolean(), { maxLength: 500 }), (arrivals) => {
      const budget = new RetryBudget({ share: 0.1, burst: 5 });
      const random = new Random(1);
      let arrived = 0;
      let retries = 0;
      for (const isArrival of arrivals) {
        if (isArrival) {
          arrived += 1;
          budget.recordRequest();
        } else if (budget.reserveRetry(1, 1_000, random) !== undefined) retries += 1;
        assert.ok(retries <= 5 + 0.1 * arrived + 1e-6);
      }
    }),
    { seed: 1 },
  );
});

test('the backoff has jitter and ends before the deadline', () => {
  const budget = new RetryBudget({ burst: 1_000 });
  const random = new Random(1);
  const backoffs = Array.from({ length: 100 }, () => budget.reserveRetry(3, 60, random));
  const taken = backoffs.filter((backoff) => backoff !== undefined);
  assert.ok(taken.every((backoff) => backoff >= 0 && backoff < 60));
  assert.ok(new Set(taken).size > 10);
  assert.ok(taken.length < backoffs.length);
});
