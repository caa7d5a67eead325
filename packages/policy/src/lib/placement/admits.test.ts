import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Random } from '@berylwood/base';
import { DEFAULT_ADMISSION_OPTIONS, admits } from './admits';

const REPORT_ROUTE = { objectiveMs: 1200, timeoutMs: 5000 };

test('what can begin in time is let in, and the rest is turned away at once', () => {
  assert.equal(admits({ ...REPORT_ROUTE, prefillMs: 400, leftMs: 4900, budgetMs: 4900 }), true);
  assert.equal(admits({ ...REPORT_ROUTE, prefillMs: 1000, leftMs: 4900, budgetMs: 4900 }), false);
});

test('callers that come back after a refusal are let in with a longer queue before them', () => {
  assert.equal(admits({ ...REPORT_ROUTE, prefillMs: 550, leftMs: 4900, budgetMs: 4900 }), false);
  assert.equal(admits({ ...REPORT_ROUTE, prefillMs: 550, leftMs: 3800, budgetMs: 3800 }), true);
  assert.equal(admits({ ...REPORT_ROUTE, prefillMs: 1000, leftMs: 3800, budgetMs: 3800 }), false);
});

test('nobody is let in who would be given up while its prompt is read', () => {
  assert.equal(admits({ ...REPORT_ROUTE, prefillMs: 400, leftMs: 500, budgetMs: 500 }), false);
});

/** A burst that asks for 1.4 times what can be read; answers the share that begins in time. */
function simulateOverload(seed: number, isBounded: boolean): number {
  const random = new Random(seed);
  const arrivals = 1200;
  const prefillMsEach = 14;
  let queueMs = 0;
  let inTime = 0;
  for (let arrival = 0; arrival < arrivals; arrival += 1) {
    const prefillMs = queueMs + prefillMsEach;
    const input = { ...REPORT_ROUTE, prefillMs, leftMs: 5000, budgetMs: 5000 };
    if (!isBounded || admits(input)) {
      queueMs = prefillMs;
      if (prefillMs <= REPORT_ROUTE.objectiveMs) inTime += 1;
    }
    queueMs = Math.max(0, queueMs - random.exponential(10));
  }
  return inTime / arrivals;
}

test('in an overload most of what can be read begins in time, instead of nothing', () => {
  for (const seed of [1, 2, 3]) {
    const bounded = simulateOverload(seed, true);
    const unbounded = simulateOverload(seed, false);
    // 10 of 14 can be read.
    assert.ok(bounded > 0.65, `seed ${seed}: ${bounded}`);
    assert.ok(bounded > 1.5 * unbounded, `seed ${seed}: ${bounded}, unbounded ${unbounded}`);
  }
});

/**
 * A burst that asks for 1.6 times what can be read, whose refused callers come back once after 0.3
 * to 1 s; answers the share of all callers that begins in time.
 */
function simulateRetries(seed: number, retryShare: number): number {
  const random = new Random(seed);
  const callers = 1500;
  const prefillMsEach = 16;
  const pending = Array.from({ length: callers }, (_, at) => ({ at: at * 10, isRetry: false }));
  let queueMs = 0;
  let now = 0;
  let inTime = 0;
  for (let next = pending.shift(); next; next = pending.shift()) {
    queueMs = Math.max(0, queueMs - (next.at - now));
    now = next.at;
    const prefillMs = queueMs + prefillMsEach;
    const leftMs = next.isRetry ? 4000 : 5000;
    const input = { ...REPORT_ROUTE, prefillMs, leftMs, budgetMs: leftMs };
    if (admits(input, { ...DEFAULT_ADMISSION_OPTIONS, retryShare })) {
      queueMs = prefillMs;
      // What is more urgent passes meanwhile.
      if (100 + 1.5 * prefillMs <= REPORT_ROUTE.objectiveMs) inTime += 1;
    } else if (!next.isRetry) {
      pending.push({ at: now + random.between(300, 1000), isRetry: true });
      pending.sort((one, other) => one.at - other.at);
    }
  }
  return inTime / callers;
}

test('callers that come back in numbers do not make everyone late', () => {
  for (const seed of [1, 2, 3]) {
    const withDefaultShare = simulateRetries(seed, DEFAULT_ADMISSION_OPTIONS.retryShare);
    const withLargeShare = simulateRetries(seed, 1.5);
    // 10 of 16 can be read.
    assert.ok(withDefaultShare > 0.55, `seed ${seed}: ${withDefaultShare}`);
    assert.ok(withLargeShare < 0.2, `seed ${seed}: ${withLargeShare}`);
  }
});
