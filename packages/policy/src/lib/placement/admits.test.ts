import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Random } from '@berylwood/base';
import { admits } from './admits';

const REPORT = { objectiveMs: 1200, timeoutMs: 5000 };

test('what can begin in time is let in, and the rest is turned away at once', () => {
  assert.equal(admits({ ...REPORT, readMs: 500, leftMs: 4900, givenMs: 4900 }), true);
  assert.equal(admits({ ...REPORT, readMs: 1000, leftMs: 4900, givenMs: 4900 }), false);
});

test('callers that come back after a refusal are let in with a longer queue before them', () => {
  assert.equal(admits({ ...REPORT, readMs: 1000, leftMs: 3800, givenMs: 3800 }), true);
});

test('nobody is let in who would be given up while its prompt is read', () => {
  assert.equal(admits({ ...REPORT, readMs: 500, leftMs: 600, givenMs: 600 }), false);
});

/** A burst that asks for 1.4 times what can be read; answers the share that begins in time. */
function replayOverload(seed: number, isBounded: boolean): number {
  const random = new Random(seed);
  const arrivals = 1200;
  const readMsEach = 14;
  let queueMs = 0;
  let inTime = 0;
  for (let arrival = 0; arrival < arrivals; arrival += 1) {
    const readMs = queueMs + readMsEach;
    const input = { ...REPORT, readMs, leftMs: 5000, givenMs: 5000 };
    if (!isBounded || admits(input)) {
      queueMs = readMs;
      if (readMs <= REPORT.objectiveMs) inTime += 1;
    }
    queueMs = Math.max(0, queueMs - random.exponential(10));
  }
  return inTime / arrivals;
}

test('in an overload most of what can be read begins in time, instead of nothing', () => {
  for (const seed of [1, 2, 3]) {
    const bounded = replayOverload(seed, true);
    const unbounded = replayOverload(seed, false);
    // 10 of 14 can be read.
    assert.ok(bounded > 0.65, `seed ${seed}: ${bounded}`);
    assert.ok(bounded > 1.5 * unbounded, `seed ${seed}: ${bounded}, unbounded ${unbounded}`);
  }
});
