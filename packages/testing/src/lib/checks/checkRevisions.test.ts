import assert from 'node:assert/strict';
import { test } from 'node:test';
import { checkRevisions } from './checkRevisions';

function record(process: string, revision: number, at: number) {
  return { process, revision, at };
}

test('growing revisions pass, each process at its own pace', () => {
  const records = [record('a', 1, 1), record('b', 1, 4), record('a', 2, 3), record('a', 2, 5)];
  assert.deepEqual(checkRevisions(records), []);
});

test('a process that goes back is found, whatever the order of the records', () => {
  const records = [record('a', 1, 9), record('a', 2, 3), record('b', 1, 5)];
  assert.equal(checkRevisions(records).length, 1);
});
