import assert from 'node:assert/strict';
import { test } from 'node:test';
import { checkWithdrawals } from './checkWithdrawals';
import { createCaller, createRefusal } from './fixtures';

const withdrawnAt = new Map([['key-1', 1000]]);

test('requests in time, refusals and other keys pass', () => {
  const callers = [
    createCaller({ sentAt: 2000, firstTokenAt: 2100 }),
    createRefusal({ sentAt: 9000 }),
    createCaller({ key: 'key-2', sentAt: 9000 }),
  ];
  assert.deepEqual(checkWithdrawals(callers, withdrawnAt, 2000), []);
});

test('a withdrawn key that is still accepted is found, also for a request that had waited', () => {
  const late = createCaller({ sentAt: 3001, firstTokenAt: 3100 });
  const waited = createCaller({ sentAt: 900, firstTokenAt: 3100 });
  assert.equal(checkWithdrawals([late, waited], withdrawnAt, 2000).length, 2);
});
