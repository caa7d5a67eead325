import assert from 'node:assert/strict';
import { test } from 'node:test';
import { URGENCY_LEVELS, UrgencyScale, type RankPair } from './UrgencyScale';

function pairsOf(ranks: readonly number[], routeRanks: readonly number[]): RankPair[] {
  return ranks.flatMap((rank) => routeRanks.map((routeRank) => ({ rank, routeRank })));
}

test('orders pairs by the rank of the workspace, then by the rank of the route', () => {
  const scale = new UrgencyScale(pairsOf([0, 1], [2, 0, 1]));
  const ordered = pairsOf([0, 1], [0, 1, 2]).map((pair) => scale.levelOf(pair));
  assert.deepEqual(ordered, [0, 1, 2, 3, 4, 5]);
});

test('with more pairs than levels, a workspace is never ordered after a less urgent one', () => {
  const ranks = Array.from({ length: 25 }, (_, at) => at * 3);
  const scale = new UrgencyScale(pairsOf(ranks, [0, 1, 2]));
  const levels = ranks.map((rank) => scale.levelOf({ rank, routeRank: 2 }));
  assert.deepEqual(
    levels,
    [...levels].sort((a, b) => a - b),
  );
  assert.equal(levels[0], 0);
  assert.ok(Math.max(...levels) < URGENCY_LEVELS);
  assert.equal(scale.levelOf({ rank: 0, routeRank: 0 }), scale.levelOf({ rank: 0, routeRank: 2 }));
});

test('an unknown pair gets the least urgent level', () => {
  const scale = new UrgencyScale([{ rank: 0, routeRank: 0 }]);
  assert.equal(scale.levelOf({ rank: 4, routeRank: 0 }), URGENCY_LEVELS - 1);
});
