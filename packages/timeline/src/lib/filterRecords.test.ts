import assert from 'node:assert/strict';
import test from 'node:test';
import type { JournalRecord } from '@berylwood/base';
import { filterRecords } from './filterRecords';
import { mergeRecords } from './mergeRecords';
import { parseRecords } from './parseRecords';
import { renderText } from './renderText';

function createRecord(
  process: string,
  wallMs: number,
  counter: number,
  name: string,
  fields: Record<string, unknown> = {},
): JournalRecord {
  return {
    event: 1,
    name,
    process,
    incarnation: `${process}-1`,
    stamp: { wallMs, counter },
    fields,
  };
}

const records = [
  createRecord('entry', 10, 0, 'arrived', { request: 'r1', workspace: 'w1' }),
  createRecord('entry', 10, 1, 'dispatched', { request: 'r1', attempt: 'a1' }),
  createRecord('sidecar', 10, 2, 'ended', { attempt: 'a1' }),
  createRecord('entry', 12, 0, 'arrived', { request: 'r2', workspace: 'w2' }),
  createRecord('control', 13, 0, 'accepted', { change: 'c1', index: 7 }),
  createRecord('control', 14, 0, 'inForce', { index: 7 }),
];

const namesOf = (list: readonly JournalRecord[]): string[] => list.map(({ name }) => name);

test('merges logs in causal order and removes duplicates', () => {
  const [a, b, c] = records as [JournalRecord, JournalRecord, JournalRecord];
  assert.deepEqual(namesOf(mergeRecords([[c], [b, a], [a]])), ['arrived', 'dispatched', 'ended']);
});

test('filtering by request includes the records of its attempts', () => {
  assert.deepEqual(namesOf(filterRecords(records, { request: 'r1' })), [
    'arrived',
    'dispatched',
    'ended',
  ]);
});

test('filtering by workspace includes only the records of its requests', () => {
  assert.equal(filterRecords(records, { workspace: 'w1' }).length, 3);
});

test('filtering by change includes the records at its log index', () => {
  assert.deepEqual(namesOf(filterRecords(records, { change: 'c1' })), ['accepted', 'inForce']);
});

test('skips unrelated and truncated lines of a log', () => {
  const text = `${JSON.stringify({ ...records[0], level: 30 })}\nnoise\n{"event":1,"na`;
  assert.equal(
    renderText(parseRecords(text)),
    '00:00:00.010 entry 1 arrived request=r1 workspace=w1',
  );
});
