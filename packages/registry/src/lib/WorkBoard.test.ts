import assert from 'node:assert/strict';
import { test } from 'node:test';
import { WorkBoard } from './WorkBoard';

test('each source is told the sum of all others, by endpoint and rank', () => {
  const board = new WorkBoard<string>();
  board.set('a', [['e-1', [5, 0, 100], 2]]);
  board.set('b', [['e-1', [1], 1]]);
  board.set('c', [['e-2', [0, 7], 1]]);
  assert.deepEqual(board.othersOf('c'), [['e-1', [6, 0, 100], 3]]);
  assert.deepEqual(board.othersOf('a'), [
    ['e-1', [1], 1],
    ['e-2', [0, 7], 1],
  ]);
  board.forget('b');
  assert.deepEqual(board.othersOf('a'), [['e-2', [0, 7], 1]]);
});
