import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Random } from '@berylwood/base';
import {
  UnevenFleet,
  createUnevenOptions,
  type UnevenFleetOptions,
} from '../../fixtures/UnevenFleet';
import { EngineEstimator } from './EngineEstimator';

const ENGINE = { key: 'e-0', pool: 'pool' };

/** Time that 9,190 tokens take by the data sheet. */
const PREFILL = { tokens: 9190, ownTokens: 9190, dataSheetMs: 139, momentary: 1 };

function run(changes: Partial<UnevenFleetOptions>, durationMs = 12_000): UnevenFleet {
  const fleet = new UnevenFleet({ ...createUnevenOptions(1), ...changes }, durationMs);
  fleet.run(durationMs);
  return fleet;
}

function medianErrorAfter5S(fleet: UnevenFleet): number {
  const errors = fleet.errorsAfter(5000);
  return errors[Math.floor(errors.length / 2)] as number;
}

/** Lets an estimator observe prefills of one engine every 100 ms. */
function observe(estimator: EngineEstimator, times: readonly number[], startAt = 0): number {
  let now = startAt;
  for (const observedMs of times) {
    now += 100;
    estimator.observePrefill(ENGINE, { ...PREFILL, observedMs }, now);
    estimator.update([ENGINE], now);
  }
  return now;
}

const repeat = (value: number, count: number): number[] =>
  Array.from({ length: count }, () => value);

// Guards against predictions that are wrong because the data sheet is of other engines.
test('after 5 s, the median error of the predicted first event is under 25%', () => {
  const error = medianErrorAfter5S(run({}));
  assert.ok(error < 0.25, `${error}`);
});

test('a data sheet that is wrong by a factor of 4 is corrected within 5 s', () => {
  for (const wrong of [4, 1 / 4]) {
    const fleet = run({ dataSheetFactor: 1.86 * wrong });
    const error = medianErrorAfter5S(fleet);
    assert.ok(error < 0.25, `factor ${wrong}: ${error}`);
    const learnt = fleet.instances.map(({ estimator }) => estimator.prefillFactor('pool') * wrong);
    assert.ok(
      learnt.every((factor) => factor > 0.8 && factor < 1.25),
      `${learnt}`,
    );
  }
});

// Guards against few observations for each instance: one of 31 sees an engine about once in ten seconds.
test('all instances tell slow, usual and fast engines apart', () => {
  const { instances, engines } = run({});
  const ids = engines.map((_, at) => ({ key: `e-${at}`, pool: 'pool' }));
  for (const { estimator } of instances) {
    const [slow, usual, fast] = [0.6, 1, 1.6].map((speed) => {
      const speeds = ids
        .filter((_, at) => engines[at]?.speed === speed)
        .map((id) => estimator.speed(id))
        .sort((a, b) => a - b);
      return speeds[Math.floor(speeds.length / 2)] as number;
    }) as [number, number, number];
    assert.ok(slow > 0.45 && slow < 0.75, `slow ${slow}`);
    assert.ok(usual > 0.85 && usual < 1.15, `usual ${usual}`);
    assert.ok(fast > 1.3 && fast < 2.1, `fast ${fast}`);
  }
});

// Guards against differences that only chance shows, which would change how even pools are served.
test('equal engines count as equal, also while some are slow for a moment', () => {
  const fleet = run({ speeds: createUnevenOptions(1).speeds.map(() => 1) }, 40_000);
  for (const { estimator } of fleet.instances) {
    const uneven = fleet.engines.filter(
      (_, at) => estimator.placementSpeed({ key: `e-${at}`, pool: 'pool' }) !== 1,
    );
    assert.equal(uneven.length, 0);
  }
});

// Guards against a switch to learnt times on deployments that the data sheet describes well.
test('a time that differs by less than 1.5 times leaves the data sheet in use', () => {
  const estimator = new EngineEstimator();
  observe(estimator, repeat(139 * 1.45, 100));
  assert.ok(Math.abs(estimator.prefillFactor('pool') - 1.45) < 0.05);
  assert.equal(estimator.placementFactor('pool'), 1);
  observe(estimator, repeat(139 * 2.4, 2000), 10_000);
  assert.ok(Math.abs(estimator.placementFactor('pool') - 2.4) < 0.25);
});

test('stalls and crashes among the responses change little', () => {
  const estimator = new EngineEstimator();
  const random = new Random(1);
  const times = Array.from({ length: 300 }, () => (random.next() < 0.05 ? 8000 : 139 * 2.4));
  observe(estimator, [...times, 60_000, NaN, -5, 0]);
  const factor = estimator.prefillFactor('pool');
  assert.ok(factor > 2.1 && factor < 2.9, `${factor}`);
});

test('observations lose half of their weight in 30 s', () => {
  const estimator = new EngineEstimator();
  const now = observe(estimator, repeat(300, 50));
  const [[before]] = estimator.sums(ENGINE, now);
  const [[after]] = estimator.sums(ENGINE, now + 30_000);
  assert.ok(Math.abs(after / before - 0.5) < 1e-9);
});

// Guards against observations that count twice, or vanish, when they are handed over.
test('sums that the leader sends back contain each observation once', () => {
  const [leader, other] = [new EngineEstimator(), new EngineEstimator()];
  const now = observe(other, repeat(300, 20));
  leader.merge(ENGINE, other.takeUnshared(ENGINE, now), now);
  assert.deepEqual(other.unshared(), []);
  observe(other, [300], now);
  other.replace(ENGINE, leader.sums(ENGINE, now + 100), now + 100);
  const [[weight]] = other.sums(ENGINE, now + 100);
  assert.ok(weight > 20.5 && weight <= 21, `${weight}`);
});

test('times between events are learnt with and without prefill, and long pauses left out', () => {
  const estimator = new EngineEstimator();
  for (let turn = 0; turn < 30; turn += 1) {
    estimator.observeGap(ENGINE, 24, false, turn * 24);
    estimator.observeGap(ENGINE, turn === 7 ? 5000 : 290, true, turn * 24);
  }
  assert.equal(estimator.eventMsWhilePrefilling('pool'), undefined);
  estimator.update([ENGINE], 1000);
  assert.ok(Math.abs((estimator.eventMs('pool') ?? 0) - 24) < 1);
  assert.ok(Math.abs((estimator.eventMsWhilePrefilling('pool') ?? 0) - 290) < 5);
});

// Guards against memory that grows with each engine that has ever been listed.
test('engines and pools that are not listed any more are forgotten', () => {
  const estimator = new EngineEstimator();
  observe(estimator, repeat(300, 10));
  assert.equal(estimator.known().length, 1);
  estimator.update([], 2000);
  assert.equal(estimator.known().length, 0);
  assert.equal(estimator.figures().size, 0);
});
