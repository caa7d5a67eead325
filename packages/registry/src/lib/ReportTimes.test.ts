import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ReportTimes } from './ReportTimes';

test('a window waits for an instance that is expected and silent', () => {
  const reports = new ReportTimes();
  reports.note('a', 5000);
  assert.equal(reports.haveAllCome([], 4000), true);
  assert.equal(reports.haveAllCome(['b'], 4000), false);
  reports.note('b', 4500);
  assert.equal(reports.haveAllCome(['b'], 4000), true);
  assert.equal(reports.haveAllCome([], 5500), false);
});

test('an instance that is gone is waited for no longer', () => {
  const reports = new ReportTimes();
  reports.note('a', 1000);
  reports.note('b', 30_000);
  reports.forgetGone(30_000);
  assert.equal(reports.haveAllCome([], 29_000), true);
});
