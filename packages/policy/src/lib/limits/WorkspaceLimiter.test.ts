import assert from 'node:assert/strict';
import test from 'node:test';
import { asId, Random } from '@berylwood/base';
import { planSchema, type Configuration, type WorkspaceId } from '@berylwood/schema';
import fc from 'fast-check';
import { createConfiguration } from '../../fixtures';
import { LimitDivider } from './LimitDivider';
import { GRANT_TERM_MS } from './LimitGrant';
import { WorkspaceLimiter } from './WorkspaceLimiter';

const TOKENS_PER_SECOND = 1_000;
const REQUESTS = 10;
const REPORT_MS = 500;
const STEP_MS = 50;
const BURST_MS = 2_000;
const alpha: WorkspaceId = asId('alpha');

function createLimits(): Configuration {
  const plan = planSchema.parse({
    classes: { chat: 2 },
    defaultClass: 'chat',
    tokensPerSecond: TOKENS_PER_SECOND,
    concurrentRequests: REQUESTS,
  });
  return createConfiguration({ plans: { basic: plan }, customers: { alpha: { plan: 'basic' } } });
}

function createEntries(count: number) {
  const divider = new LimitDivider<number>();
  const limiters = Array.from({ length: count }, () => new WorkspaceLimiter(0));
  divider.setEntries(limiters.map((_, i) => i));
  for (const component of [divider, ...limiters]) component.configure(createLimits());
  const renewGrants = (i: number, now: number) => {
    const limiter = limiters[i] as WorkspaceLimiter;
    limiter.grantsReceived(divider.useReported(i, limiter.report(now), now), now);
  };
  limiters.forEach((_, i) => renewGrants(i, 0));
  return { limiters, exchange: renewGrants };
}

test('a single busy entry gets nearly the whole limit', () => {
  const { limiters, exchange } = createEntries(4);
  const [busy] = limiters as [WorkspaceLimiter];
  let admitted = 0;
  for (let now = 0; now < 20_000; now += STEP_MS) {
    if (now % REPORT_MS === 0) limiters.forEach((_, i) => exchange(i, now));
    if (busy.admit(alpha, 100, now).isErr()) continue;
    admitted += 100;
    busy.ended(alpha, 0, now);
  }
  assert.ok(admitted >= 0.85 * 20 * TOKENS_PER_SECOND, `${admitted}`);
});

test('a rejection reports when tokens are available again', () => {
  const { limiters } = createEntries(1);
  const [limiter] = limiters as [WorkspaceLimiter];
  limiter.admit(alpha, 3_000, 0)._unsafeUnwrap();
  const failure = limiter.admit(alpha, 1, 0)._unsafeUnwrapErr();
  assert.equal(failure.code.name, 'limitReached');
  const retryAfterMs = failure.retryAfterMs as number;
  assert.ok(limiter.admit(alpha, 1, retryAfterMs - 2).isErr());
  assert.ok(limiter.admit(alpha, 1, retryAfterMs).isOk());
});

/**
 * Runs entries with random traffic. `weights` holds the probability of a request per step for each
 * entry; `partitioned` holds for each second whether the entries with an even index get no grants.
 */
function checkPartition(weights: readonly number[], partitioned: readonly boolean[]): void {
  const { limiters, exchange } = createEntries(weights.length);
  const random = new Random(weights.length);
  const running = weights.map(() => 0);
  const admitted = { tokens: 0 };
  let excessSince: number | undefined;
  const end = 10_000;
  for (let now = 0; now < end; now += STEP_MS) {
    limiters.forEach((limiter, i) => {
      const isPartitioned =
        partitioned[Math.floor(now / 1_000) % partitioned.length] === true && i % 2 === 0;
      if (now % REPORT_MS === 0 && !isPartitioned) exchange(i, now);
      if (random.next() < 0.1 && (running[i] as number) > 0) {
        limiter.ended(alpha, 0, now);
        running[i] = (running[i] as number) - 1;
      }
      if (random.next() >= (weights[i] as number)) return;
      if (limiter.admit(alpha, 20, now).isErr()) return;
      admitted.tokens += 20;
      running[i] = (running[i] as number) + 1;
    });
    const sum = running.reduce((total, count) => total + count, 0);
    if (sum <= REQUESTS) excessSince = undefined;
    else excessSince ??= now;
    assert.ok(sum <= 2 * REQUESTS, `${sum} requests at ${now}`);
    // Requests admitted under older grants must end first.
    assert.ok(
      now - (excessSince ?? now) <= 2 * GRANT_TERM_MS,
      `over the limit since ${excessSince}`,
    );
  }
  const overdrafts = weights.length * 20;
  const allowed = (TOKENS_PER_SECOND * (end + BURST_MS + 2 * GRANT_TERM_MS)) / 1_000;
  assert.ok(admitted.tokens <= allowed + overdrafts, `${admitted.tokens} tokens`);
}

test('entries together keep to the limits, also while partitioned', () => {
  const weights = fc.array(fc.double({ min: 0, max: 1, noNaN: true }), {
    minLength: 1,
    maxLength: 6,
  });
  const partitioned = fc.array(fc.boolean(), { minLength: 1, maxLength: 10 });
  fc.assert(fc.property(weights, partitioned, checkPartition), { seed: 1, numRuns: 50 });
});

test('each entry without new grants keeps to an even share', () => {
  const { limiters } = createEntries(3);
  const late = 10 * GRANT_TERM_MS;
  let admitted = 0;
  for (const limiter of limiters) {
    for (let i = 0; i < 2 * REQUESTS; i += 1)
      admitted += limiter.admit(alpha, 1, late).isOk() ? 1 : 0;
  }
  assert.equal(admitted, REQUESTS);
});
