import assert from 'node:assert/strict';
import { test } from 'node:test';
import { asId } from '@berylwood/base';
import type { IncarnationId } from '@berylwood/schema';
import { MAX_USAGE_AGE_MS, UsageMarks } from './UsageMarks';

const run = asId<'incarnation'>('inc-1') as IncarnationId;

test('receipts with gaps and the sidecar’s own records count once each, in any order', () => {
  const marks = new UsageMarks();
  assert.equal(marks.count(run, 1, 0), true);
  assert.equal(marks.count(run, 4, 0), true);
  assert.equal(marks.count(run, 3, 0), true);
  assert.equal(marks.markOf(run), 1);
  assert.equal(marks.count(run, 4, 0), false);
  assert.equal(marks.count(run, 2, 0), true);
  assert.equal(marks.markOf(run), 4);
  assert.equal(marks.count(run, 3, 0), false);
});

test('a mark is retained for longer than the maximum age of a usage record', () => {
  const marks = new UsageMarks();
  const other = asId<'incarnation'>('inc-2') as IncarnationId;
  marks.count(run, 1, 0);
  marks.count(other, 1, MAX_USAGE_AGE_MS + 1);
  assert.equal(marks.isKnown(run), true);
  marks.count(other, 2, 2 * MAX_USAGE_AGE_MS + 1);
  assert.equal(marks.isKnown(run), false);
});
