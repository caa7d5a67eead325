import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ReportTimes } from './ReportTimes';

test('a window waits for an expected instance that has not reported', () => {
  const reports = new ReportTimes();
  reports.markReported('a', 5000);
  assert.equal(reports.haveAllReported([], 4000), true);
  assert.equal(reports.haveAllReported(['b'], 4000), false);
  reports.markReported('b', 4500);
  assert.equal(reports.haveAllReported(['b'], 4000), true);
  assert.equal(reports.haveAllReported([], 5500), false);
});

test('an expired instance is no longer waited for', () => {
  const reports = new ReportTimes();
  reports.markReported('a', 1000);
  reports.markReported('b', 30_000);
  reports.removeExpired(30_000);
  assert.equal(reports.haveAllReported([], 29_000), true);
});
