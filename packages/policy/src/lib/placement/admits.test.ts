import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Random } from '@berylwood/base';
import { ADMISSION, admits } from './admits';

const REPORT = { objectiveMs: 1200, timeoutMs: 5000 };

test('what can begin in time is let in, and the rest is turned away at once', () => {
  assert.equal(admits({ ...REPORT, readMs: 400, leftMs: 4900, givenMs: 4900 }), true);
  assert.equal(admits({ ...REPORT, readMs: 1000, leftMs: 4900, givenMs: 4900 }), false);
});

test('callers that come back after a refusal are let in with a longer queue before them', () => {
  assert.equal(admits({ ...REPORT, readMs: 550, leftMs: 4900, givenMs: 4900 }), false);
  assert.equal(admits({ ...REPORT, readMs: 550, leftMs: 3800, givenMs: 3800 }), true);
  assert.equal(admits({ ...REPORT, readMs: 1000, leftMs: 3800, givenMs: 3800 }), false);
});

test('nobody is let in who would be given up while its prompt is read', () => {
  assert.equal(admits({ ...REPORT, readMs: 400, leftMs: 500, givenMs: 500 }), false);
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

/**
 * A burst that asks for 1.6 times what can be read, whose refused callers come back once after 0.3
 * to 1 s; answers the share of all callers that begins in time.
 */
function replayReturns(seed: number, returningShare: number): number {
  const random = new Random(seed);
  const callers = 1500;
  const readMsEach = 16;
  const tries = Array.from({ length: callers }, (_, at) => ({ at: at * 10, isReturning: false }));
  let queueMs = 0;
  let now = 0;
  let inTime = 0;
  for (let next = tries.shift(); next; next = tries.shift()) {
    queueMs = Math.max(0, queueMs - (next.at - now));
    now = next.at;
    const readMs = queueMs + readMsEach;
    const leftMs = next.isReturning ? 4000 : 5000;
    const input = { ...REPORT, readMs, leftMs, givenMs: leftMs };
    if (admits(input, { ...ADMISSION, returningShare })) {
      queueMs = readMs;
      // What is more urgent passes meanwhile.
      if (100 + 1.5 * readMs <= REPORT.objectiveMs) inTime += 1;
    } else if (!next.isReturning) {
      tries.push({ at: now + random.between(300, 1000), isReturning: true });
      tries.sort((one, other) => one.at - other.at);
    }
  }
  return inTime / callers;
}

test('callers that come back in numbers do not make everyone late', () => {
  for (const seed of [1, 2, 3]) {
    const close = replayReturns(seed, ADMISSION.returningShare);
    const far = replayReturns(seed, 1.5);
    // 10 of 16 can be read.
    assert.ok(close > 0.55, `seed ${seed}: ${close}`);
    assert.ok(far < 0.2, `seed ${seed}: ${far}`);
  }
});
