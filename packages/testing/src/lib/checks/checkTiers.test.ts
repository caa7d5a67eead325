import assert from 'node:assert/strict';
import { test } from 'node:test';
import { checkTiers } from './checkTiers';
import { createCaller, createRefusal } from './fixtures';

const SETTLE_MS = 100;

function lower(fields: object = {}) {
  return createCaller({ digest: 'low', tier: 2, sentAt: 0, endedAt: 5000, ...fields });
}

test('shedding a high tier passes when no lower work is there', () => {
  const high = createRefusal();
  const ended = lower({ endedAt: 2050 });
  const elsewhere = lower({ pool: 'other' });
  const same = lower({ tier: 1 });
  assert.deepEqual(checkTiers([high, ended, elsewhere, same], SETTLE_MS), []);
});

test('a workspace over its own limit is no shedding', () => {
  assert.deepEqual(checkTiers([createRefusal({ error: 'limitReached' }), lower()], SETTLE_MS), []);
});

test('shedding or preempting a high tier while lower work runs is found', () => {
  assert.equal(checkTiers([createRefusal(), lower()], SETTLE_MS).length, 1);
  const preempted = createCaller({ error: 'preempted', isWhole: false });
  assert.equal(checkTiers([preempted, lower()], SETTLE_MS).length, 1);
});
