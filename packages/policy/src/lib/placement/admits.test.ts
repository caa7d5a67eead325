import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Random } from '@berylwood/base';
import { DEFAULT_ADMISSION_OPTIONS, admits } from './admits';

const REPORT_ROUTE = { objectiveMs: 1200, timeoutMs: 5000 };

test('admits a request that can begin in time and rejects one that cannot', () => {
  assert.equal(admits({ ...REPORT_ROUTE, prefillMs: 400, leftMs: 4900, budgetMs: 4900 }), true);
  assert.equal(admits({ ...REPORT_ROUTE, prefillMs: 1000, leftMs: 4900, budgetMs: 4900 }), false);
});

test('admits a caller that retries at a longer queue than a first try', () => {
  assert.equal(admits({ ...REPORT_ROUTE, prefillMs: 550, leftMs: 4900, budgetMs: 4900 }), false);
  assert.equal(admits({ ...REPORT_ROUTE, prefillMs: 550, leftMs: 3800, budgetMs: 3800 }), true);
  assert.equal(admits({ ...REPORT_ROUTE, prefillMs: 1000, leftMs: 3800, budgetMs: 3800 }), false);
});

test('rejects a request that would time out during the prefill of its prompt', () => {
  assert.equal(admits({ ...REPORT_ROUTE, prefillMs: 400, leftMs: 500, budgetMs: 500 }), false);
});

/**
 * Simulates a burst of 1.4 times the prefill capacity and returns the fraction of requests that begin
 * in time.
 */
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

test('in an overload, admission control makes most requests within the capacity begin in time', () => {
  for (const seed of [1, 2, 3]) {
    const bounded = simulateOverload(seed, true);
    const unbounded = simulateOverload(seed, false);
    // The capacity is 10 of 14 requests.
    assert.ok(bounded > 0.65, `seed ${seed}: ${bounded}`);
    assert.ok(bounded > 1.5 * unbounded, `seed ${seed}: ${bounded}, unbounded ${unbounded}`);
  }
});

/**
 * Simulates a burst of 1.6 times the prefill capacity in which rejected callers retry once after 0.3
 * to 1 s. Returns the fraction of all callers whose response begins in time.
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
      // More urgent requests that arrive meanwhile are prefilled first.
      if (100 + 1.5 * prefillMs <= REPORT_ROUTE.objectiveMs) inTime += 1;
    } else if (!next.isRetry) {
      pending.push({ at: now + random.between(300, 1000), isRetry: true });
      pending.sort((one, other) => one.at - other.at);
    }
  }
  return inTime / callers;
}

test('many callers that retry do not delay all responses', () => {
  for (const seed of [1, 2, 3]) {
    const withDefaultShare = simulateRetries(seed, DEFAULT_ADMISSION_OPTIONS.retryShare);
    const withLargeShare = simulateRetries(seed, 1.5);
    // The capacity is 10 of 16 requests.
    assert.ok(withDefaultShare > 0.55, `seed ${seed}: ${withDefaultShare}`);
    assert.ok(withLargeShare < 0.2, `seed ${seed}: ${withLargeShare}`);
  }
});
