import assert from 'node:assert/strict';
import { test } from 'node:test';
import { UsageLedger } from './UsageLedger';

test('cumulative reports of several sources add up, and repeats change nothing', () => {
  const ledger = new UsageLedger();
  ledger.countRequest('own', 5, 'w');
  ledger.mergeCounts('other', 5, { w: 2 });
  ledger.mergeCounts('other', 5, { w: 3 });
  ledger.mergeCounts('other', 5, { w: 2 });
  assert.deepEqual(ledger.total(5), { w: 4 });
});

test('closed windows are discarded and no longer reported', () => {
  const ledger = new UsageLedger();
  ledger.countRequest('own', 5, 'w');
  ledger.countRequest('own', 6, 'w');
  assert.deepEqual(ledger.countsSince('own', 5), [[6, { w: 1 }]]);
  ledger.discardThrough(5);
  assert.deepEqual(ledger.total(5), {});
});
