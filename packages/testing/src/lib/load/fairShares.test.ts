import assert from 'node:assert/strict';
import { test } from 'node:test';
import { fairShares } from './fairShares';

test('capacity is shared by weight, and what one leaves goes to the others', () => {
  const demands = [
    { name: 'modest', demand: 10, share: 1 },
    { name: 'large', demand: 1000, share: 2 },
    { name: 'small', demand: 1000, share: 1 },
  ];
  assert.deepEqual(
    fairShares(demands, 100),
    new Map([
      ['modest', 10],
      ['large', 60],
      ['small', 30],
    ]),
  );
});

test('with room for all, everyone gets the demand', () => {
  const demands = ['a', 'b'].map((name, index) => ({ name, demand: index + 1, share: 1 }));
  assert.deepEqual([...fairShares(demands, 100).values()], [1, 2]);
});
