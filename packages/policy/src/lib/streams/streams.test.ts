import assert from 'node:assert/strict';
import { test } from 'node:test';
import { combineEstimates } from './combineEstimates';
import { countStreamEngines, type StreamDemand } from './countStreamEngines';
import { DecayedHistogram } from './DecayedHistogram';
import { DecayedRate } from './DecayedRate';
import { selectStreamEngines, type StreamEngineView } from './selectStreamEngines';
import { StreamEngineCount } from './StreamEngineCount';
import { tightPauseMs } from './tightPauseMs';

const HALF_LIFE_MS = 30_000;

const isAbout = (value: number | undefined, expected: number): boolean =>
  value !== undefined && Math.abs(value / expected - 1) < 0.05;

// Guards against an estimate that a few late observations decide.
test('the upper quartile ignores the slowest tenth of the values', () => {
  const histogram = new DecayedHistogram(HALF_LIFE_MS);
  for (let count = 0; count < 90; count += 1) histogram.add(290, 0);
  for (let count = 0; count < 10; count += 1) histogram.add(1400, 0);
  assert.ok(isAbout(histogram.quantile(0.75, 0), 290));
});

// Guards against an estimate that an earlier behaviour of the engines decides for ever.
test('values count half after the half-life, so that later ones replace them', () => {
  const histogram = new DecayedHistogram(HALF_LIFE_MS);
  for (let count = 0; count < 100; count += 1) histogram.add(290, 0);
  assert.ok(isAbout(histogram.weight(HALF_LIFE_MS), 50));
  for (let count = 0; count < 100; count += 1) histogram.add(72, 4 * HALF_LIFE_MS);
  assert.ok(isAbout(histogram.quantile(0.75, 4 * HALF_LIFE_MS), 72));
});

test('values beyond the range are counted at its ends, and no value gives no quantile', () => {
  const histogram = new DecayedHistogram(HALF_LIFE_MS);
  assert.equal(histogram.quantile(0.5, 0), undefined);
  histogram.add(0.001, 0);
  histogram.add(1e9, 0);
  assert.ok((histogram.quantile(0.1, 0) ?? 0) >= 1);
  assert.ok((histogram.quantile(1, 0) ?? Infinity) < 20_000);
});

test('a rate approaches the sum per second, and zero without amounts', () => {
  const rate = new DecayedRate(2000);
  for (let now = 0; now < 20_000; now += 10) rate.add(5, now);
  assert.ok(isAbout(rate.perS(20_000), 500));
  assert.ok(rate.perS(60_000) < 0.001);
});

// Guards against one slow instance that observes every event late.
test('estimates are combined by their weights, and too few observations give none', () => {
  const estimates = [
    { value: 290, weight: 15 },
    { value: 1200, weight: 6 },
    { value: 280, weight: 10 },
  ];
  assert.equal(combineEstimates(estimates, 20), 290);
  assert.equal(combineEstimates(estimates, 40), undefined);
});

test('a route is tight above 0.8 of its pause, and stays so down to 0.65', () => {
  const pauses = [0, 300, 1200];
  assert.equal(tightPauseMs(pauses, 239, 0), 0);
  assert.equal(tightPauseMs(pauses, 241, 0), 300);
  assert.equal(tightPauseMs(pauses, 200, 300), 300);
  assert.equal(tightPauseMs(pauses, 190, 300), 0);
  assert.equal(tightPauseMs([], 500, 0), 0);
});

// Guards against a split of the earlier deployments, whose events take 60 to 120 ms during prefill.
test('no route of the earlier deployments is tight', () => {
  assert.equal(tightPauseMs([120], 62, 0), 0);
  assert.equal(tightPauseMs([300], 120, 0), 0);
});

const demandOf = (demand: Partial<StreamDemand>): StreamDemand => ({
  ...{ engines: 34, slots: 64, runningTight: 56, tightTokensPerS: 23_000 },
  ...{ otherTokensPerS: 150_000, prefillMsPerToken: 0.035 },
  ...demand,
});

test('the number of stream engines follows the running streams and their prompts', () => {
  const count = countStreamEngines(demandOf({}));
  assert.ok(count >= 2 && count <= 5);
  assert.ok(countStreamEngines(demandOf({ runningTight: 400 })) > count);
  assert.ok(countStreamEngines(demandOf({ tightTokensPerS: 90_000 })) > count);
});

test('a pool without tight streams or other prompts, or with fewer than 4 engines is not split', () => {
  assert.equal(countStreamEngines(demandOf({ runningTight: 0, tightTokensPerS: 0 })), 0);
  assert.equal(countStreamEngines(demandOf({ otherTokensPerS: 0 })), 0);
  assert.equal(countStreamEngines(demandOf({ engines: 3 })), 0);
});

// Guards against streams that take all engines from the other prompts in an overload of both.
test('when both kinds need more than there is, the engines are divided in proportion', () => {
  const overload = { runningTight: 1000, otherTokensPerS: 850_000 };
  const count = countStreamEngines(demandOf(overload));
  assert.ok(count >= 15 && count <= 19);
  assert.ok(countStreamEngines(demandOf({ runningTight: 1e6, engines: 4 })) <= 3);
});

test('the number grows at once by a few engines at a time, and shrinks late by one', () => {
  const count = new StreamEngineCount(0);
  const values: number[] = [];
  for (let now = 0; now < 500; now += 100) values.push(count.update(8, 34, now));
  assert.deepEqual(values, [3, 6, 8, 8, 8]);
  for (let now = 500; now < 4400; now += 100) assert.equal(count.update(2, 34, now), 8);
  assert.equal(count.update(2, 34, 4500), 7);
  assert.equal(count.update(2, 34, 5000), 7);
  assert.equal(count.update(2, 34, 5500), 6);
});

// Guards against a number that follows each burst down and loses the caches for the next.
test('a short dip of the demand changes nothing', () => {
  const count = new StreamEngineCount(6);
  for (let now = 0; now < 3000; now += 100) count.update(2, 34, now);
  count.update(6, 34, 3000);
  for (let now = 3100; now < 6000; now += 100) assert.equal(count.update(2, 34, now), 6);
});

test('the number stays below the engines in service', () => {
  const count = new StreamEngineCount(6);
  assert.ok(count.update(6, 5, 0) < 5);
  assert.equal(new StreamEngineCount(6).update(0, 2, 0), 0);
});

interface TestView extends StreamEngineView {
  readonly name: string;
}

const viewOf = (name: string, queuedTokens = 0, running = 0): TestView => ({
  ...{ name, queuedTokens, running, slots: 64 },
});

const isStreamEngine = ({ name }: TestView): boolean => name.startsWith('s');

const OPTIONS = { isTight: true, promptTokens: 800, pauseMs: 300, prefillMsPerToken: 0.035 };

const select = (views: readonly TestView[], options: Partial<typeof OPTIONS>) => {
  const placement = selectStreamEngines(views, isStreamEngine, { ...OPTIONS, ...options });
  return { kind: placement.kind, names: placement.views.map(({ name }) => name) };
};

test('tight streams use the stream engines that are filled up to 3/4', () => {
  const views = [viewOf('s1', 0, 48), viewOf('s2', 500, 47), viewOf('a')];
  assert.deepEqual(select(views, {}), { kind: 'tight', names: ['s2'] });
});

// Guards against streams that wait for a stream engine while others could serve them.
test('tight streams go where the least prefill is queued when stream engines are full or gone', () => {
  const full = [viewOf('s1', 900, 60), viewOf('a', 4000), viewOf('b', 100), viewOf('c', 0, 64)];
  assert.deepEqual(select(full, {}), { kind: 'spilled', names: ['b'] });
  assert.deepEqual(select([viewOf('a', 10), viewOf('b', 5)], {}), {
    ...{ kind: 'spilled', names: ['b'] },
  });
});

test('other prompts use a stream engine only if its queue stays short with them', () => {
  const views = [viewOf('s1', 3000), viewOf('s2', 3800), viewOf('a', 90_000)];
  const short = select(views, { isTight: false });
  assert.deepEqual(short, { kind: 'other', names: ['a', 's1'] });
  const long = select(views, { isTight: false, promptTokens: 9190 });
  assert.deepEqual(long, { kind: 'other', names: ['a'] });
});

// Guards against a rejection of prompts while stream engines are in service.
test('other prompts use the stream engines if no other engine is usable', () => {
  const views = [viewOf('s1', 90_000), viewOf('s2')];
  const placed = select(views, { isTight: false, promptTokens: 9190 });
  assert.deepEqual(placed, { kind: 'spilled', names: ['s1', 's2'] });
});
