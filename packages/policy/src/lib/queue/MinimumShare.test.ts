import assert from 'node:assert/strict';
import test from 'node:test';
import { createClass } from '../../fixtures';
import { MinimumShare } from './MinimumShare';

function createShares(minimumShare: number): MinimumShare {
  const shares = new MinimumShare();
  const letter = createClass({ minimumShare, maxWaitMs: 40_000 });
  shares.configure({ chat: createClass(), letter });
  shares.arrived('letter', 100, 0);
  return shares;
}

test('a class is due when its share of the work served covers its next request', () => {
  const shares = createShares(0.1);
  shares.served('chat', 900, 1, true);
  assert.equal(shares.isDue('letter', 100, 1), false);
  shares.served('chat', 100, 2, true);
  assert.equal(shares.isDue('letter', 100, 2), true);
  shares.served('letter', 100, 3, false);
  assert.equal(shares.isDue('letter', 100, 3), false);
});

test('a class accumulates at most a few requests, and nothing without demand', () => {
  const shares = createShares(0.1);
  shares.served('chat', 1_000_000, 1, true);
  for (let i = 0; i < 4; i += 1) shares.served('letter', 100, 2, true);
  assert.equal(shares.isDue('letter', 100, 3), false);
  shares.served('chat', 1_000_000, 100_000, true);
  assert.equal(shares.isDue('letter', 100, 3), false);
});

test('a class without any service is due after a quarter of its maximum wait', () => {
  for (const minimumShare of [0, 0.01]) {
    const shares = createShares(minimumShare);
    assert.equal(shares.dueAt('letter'), 10_000);
    assert.equal(shares.isDue('letter', 100, 9_999), false);
    assert.equal(shares.isDue('letter', 100, 10_000), true);
  }
});
