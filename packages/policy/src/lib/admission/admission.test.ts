import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Random } from '@berylwood/base';
import { AdmissionCredits } from './AdmissionCredits';
import { divideAdmission, type AdmissionDemand } from './divideAdmission';
import { divideFairly } from './divideFairly';
import { PrefillCapacity } from './PrefillCapacity';
import { returnAfterMs } from './returnAfter';
import { Shortage, admissiblePerS } from './Shortage';

const claim = (demand: number, floor = 0, weight = 1) => ({ demand, floor, weight });

const assertClose = (actual: readonly number[], expected: readonly number[]): void => {
  assert.equal(actual.length, expected.length);
  actual.forEach((value, at) =>
    assert.ok(Math.abs(value - (expected[at] ?? NaN)) < 1e-6, `${value}`),
  );
};

// Guards against capacity that nobody uses while others are rejected.
test('what a claim does not use goes to the others', () => {
  assertClose(divideFairly([claim(10), claim(100), claim(100)], 110), [10, 50, 50]);
  assertClose(divideFairly([claim(10), claim(20)], 100), [10, 20]);
  assertClose(divideFairly([claim(100), claim(300, 0, 3)], 80), [20, 60]);
  assertClose(divideFairly([claim(1000, 100), claim(100)], 120), [100, 20]);
  assertClose(divideFairly([], 10), []);
});

const demand = (
  rank: number,
  workspace: string,
  firstPerS: number,
  returnPerS = 0,
): AdmissionDemand => ({
  ...{ rank, workspace, firstPerS, returnPerS, weight: 1 },
});

const divide = (demands: readonly AdmissionDemand[], capacityPerS: number) =>
  divideAdmission(demands, { capacityPerS, admissiblePerS: capacityPerS });

// Guards against a rank that is rejected before the ones that are less urgent.
test('rejections begin with the least urgent rank and leave it a tenth', () => {
  const first = (capacity: number): number[] =>
    divide([demand(2, 'a', 100), demand(0, 'a', 100), demand(1, 'b', 100)], capacity).map(
      (fraction) => fraction.first,
    );
  assertClose(first(250), [1, 1, 0.5]);
  assertClose(first(210), [1, 1, 0.1]);
  assertClose(first(160), [1, 0.5, 0.1]);
  assertClose(first(10), [0.1, 0.1, 0.1]);
});

// Guards against callers that return and find their part taken, or that return to get more than others.
test('returning callers have priority within a third of their workspace', () => {
  const [few] = divide([demand(0, 'a', 90, 10)], 60);
  assertClose([few?.first ?? 0, few?.returning ?? 0], [50 / 90, 1]);
  const [many] = divide([demand(0, 'a', 100, 300)], 60);
  assertClose([many?.first ?? 0, many?.returning ?? 0], [0.15, 0.15]);
  const [greedy, modest] = divide([demand(0, 'a', 100, 900), demand(0, 'b', 60)], 100);
  assert.ok((greedy?.first ?? 0) <= 0.06 && (modest?.first ?? 0) >= 0.8);
});

// Guards against a long queue that rejects requests which are prefilled before it anyway.
test('a long queue reduces only the ranks that exceed the capacity', () => {
  const demands = [demand(0, 'a', 80), demand(1, 'a', 100)];
  const fractions = divideAdmission(demands, { capacityPerS: 100, admissiblePerS: 50 });
  assertClose(
    fractions.map(({ first }) => first),
    [1, 0.1],
  );
});

// Guards against random draws, which are far off at small rates, and against a size that is starved.
test('credits admit the exact fraction of each size', () => {
  const credits = new AdmissionCredits(new Random(1));
  const admitted = { short: 0, long: 0 };
  for (let at = 0; at < 1000; at += 1) {
    if (credits.admit('a', 100, 0.5)) admitted.short += 1;
    if (credits.admit('a', 9000, 0.5)) admitted.long += 1;
  }
  assert.ok(Math.abs(admitted.short - 500) <= 1 && Math.abs(admitted.long - 500) <= 1);
  const first = Array.from({ length: 1000 }, (_, at) => credits.admit(`w-${at}`, 100, 0.1));
  const count = first.filter(Boolean).length;
  assert.ok(count > 70 && count < 130, `${count} of the first requests of 1000 workspaces`);
});

// Guards against a rate that is the demand, a single stall, and counts that are wrong by orders of magnitude.
test('the capacity is learnt only while the queues are not empty', () => {
  const capacity = new PrefillCapacity();
  const load = { engines: 10, queuedTokens: 0, servedPerS: 10, priorPerS: 1000 };
  for (let now = 0; now < 3000; now += 100) capacity.update(load, now);
  assert.equal(capacity.tokensPerS, 1000);
  const busy = { ...load, queuedTokens: 100_000 };
  for (let now = 3000; now < 8000; now += 100) {
    capacity.update({ ...busy, servedPerS: now % 1000 === 0 ? 0 : 600 }, now);
  }
  assert.equal(capacity.tokensPerS, 600);
  for (let now = 8000; now < 16_000; now += 100) {
    capacity.update({ ...busy, servedPerS: 1e9 }, now);
  }
  assert.equal(capacity.tokensPerS, 4000);
});

// Guards against a shortage that begins and ends with every report.
test('a shortage begins with a queue and ends well below the capacity', () => {
  const shortage = new Shortage();
  const input = { capacityPerS: 1000, askedPerS: 1100, queuedTokens: 100, objectiveMs: 2000 };
  assert.equal(shortage.update(input, 0), false);
  assert.equal(shortage.update({ ...input, queuedTokens: 500 }, 100), true);
  assert.equal(shortage.update({ ...input, askedPerS: 980, queuedTokens: 300 }, 200), true);
  assert.equal(shortage.update({ ...input, askedPerS: 900 }, 300), true);
  assert.equal(shortage.update({ ...input, askedPerS: 900 }, 800), false);
  assert.equal(admissiblePerS({ ...input, queuedTokens: 400 }), 1000);
  assert.equal(admissiblePerS({ ...input, queuedTokens: 9000 }), 500);
  assert.equal(admissiblePerS({ ...input, queuedTokens: 0 }), 1250);
});

// Guards against callers that return while the queue is still too long.
test('a caller returns later, the longer the queue and the fewer returns are admitted', () => {
  assert.equal(returnAfterMs(-100, 1), 300);
  assert.equal(returnAfterMs(400, 0.5), 1000);
  assert.equal(returnAfterMs(5000, 0.01), 2000);
});
