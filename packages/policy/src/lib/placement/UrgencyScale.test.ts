import assert from 'node:assert/strict';
import { test } from 'node:test';
import { URGENCY_LEVELS, UrgencyScale, type RankPair } from './UrgencyScale';

function pairsOf(ranks: readonly number[], routeRanks: readonly number[]): RankPair[] {
  return ranks.flatMap((rank) => routeRanks.map((routeRank) => ({ rank, routeRank })));
}

test('a more urgent workspace goes first, and within one rank the more urgent route', () => {
  const scale = new UrgencyScale(pairsOf([0, 1], [2, 0, 1]));
  const ordered = pairsOf([0, 1], [0, 1, 2]).map((pair) => scale.levelOf(pair));
  assert.deepEqual(ordered, [0, 1, 2, 3, 4, 5]);
});

test('with more pairs than levels no workspace loses its place to a less urgent one', () => {
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

test('a pair that was not given is the least urgent', () => {
  const scale = new UrgencyScale([{ rank: 0, routeRank: 0 }]);
  assert.equal(scale.levelOf({ rank: 4, routeRank: 0 }), URGENCY_LEVELS - 1);
});
