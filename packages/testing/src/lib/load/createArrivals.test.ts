import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createArrivals } from './createArrivals';
import { createScenario } from './fixtures';

test('the same seed gives the same arrivals, another seed gives others', () => {
  assert.deepEqual(createArrivals(createScenario()), createArrivals(createScenario()));
  assert.notDeepEqual(
    createArrivals(createScenario()),
    createArrivals(createScenario({ seed: 2 })),
  );
});

test('arrivals come in order of time, at the rate and in the shares of the scenario', () => {
  const arrivals = createArrivals(createScenario());
  assert.ok(arrivals.every(({ atMs }, i) => atMs >= (arrivals[i - 1]?.atMs ?? 0)));
  assert.ok(arrivals.length > 1850 && arrivals.length < 2150, String(arrivals.length));
  const large = arrivals.filter(({ workspace }) => workspace === 'large').length;
  assert.ok(Math.abs(large / arrivals.length - 0.75) < 0.05, String(large));
});

test('a burst multiplies the rate of its class or workspace while it lasts', () => {
  const bursts = [{ fromS: 40, toS: 60, factor: 5, class: 'report' }];
  const arrivals = createArrivals(createScenario({}, { bursts }));
  const count = (name: string, fromS: number, toS: number): number =>
    arrivals.filter(
      (item) => item.class === name && item.atMs >= fromS * 1000 && item.atMs < toS * 1000,
    ).length;
  const ratio = count('report', 40, 60) / count('report', 20, 40);
  assert.ok(ratio > 3.5 && ratio < 7, String(ratio));
  const quiet = count('chat', 40, 60) / count('chat', 20, 40);
  assert.ok(quiet > 0.8 && quiet < 1.25, String(quiet));
});

test('a factor of zero silences a class', () => {
  const bursts = [{ fromS: 0, toS: 100, factor: 0, class: 'chat' }];
  const arrivals = createArrivals(createScenario({}, { bursts }));
  assert.ok(arrivals.every((item) => item.class === 'report'));
});

test('answer lengths are log-normal around their median', () => {
  const lengths = createArrivals(createScenario())
    .map(({ answerTokens }) => answerTokens)
    .sort((a, b) => a - b);
  const median = lengths[Math.floor(lengths.length / 2)] ?? 0;
  assert.ok(Math.abs(median - 40) <= 2, String(median));
  const mean = lengths.reduce((sum, length) => sum + length, 0) / lengths.length;
  assert.ok(Math.abs(mean - 40 * Math.exp(0.125)) < 2, String(mean));
});
