import assert from 'node:assert/strict';
import { test } from 'node:test';
import { InFlightWork } from './InFlightWork';

test('each source gets the sum of all others, by endpoint and rank', () => {
  const inFlight = new InFlightWork<string>();
  inFlight.set('a', [['e-1', [5, 0, 100], 2]]);
  inFlight.set('b', [['e-1', [1], 1]]);
  inFlight.set('c', [['e-2', [0, 7], 1]]);
  assert.deepEqual(inFlight.sumExcluding('c'), [['e-1', [6, 0, 100], 3]]);
  assert.deepEqual(inFlight.sumExcluding('a'), [
    ['e-1', [1], 1],
    ['e-2', [0, 7], 1],
  ]);
  inFlight.delete('b');
  assert.deepEqual(inFlight.sumExcluding('a'), [['e-2', [0, 7], 1]]);
});
