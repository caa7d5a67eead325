import assert from 'node:assert/strict';
import test from 'node:test';
import { asId } from '@berylwood/base';
import fc from 'fast-check';
import { UrgencyQueue, type RankedItem } from './UrgencyQueue';
import { FairQueue } from './FairQueue';

interface Item extends RankedItem {
  readonly number: number;
  readonly canBeServed: boolean;
}

/** Work served to each workspace before, so that no two are served equally. */
const SERVED_BEFORE = { a: 0.13, b: 0.37, c: 0.21 } as const;

const WORKSPACES = ['a', 'b', 'c'] as const;

const SHARES = { a: 1, b: 2, c: 1 } as const;

/** Interval at which waiting requests are placed, in milliseconds. */
const TICK_MS = 20;

const canBeServed = (item: Item): boolean => item.canBeServed;

interface Plan {
  readonly workspace: (typeof WORKSPACES)[number];
  readonly rank: number;
  readonly canBeServed: boolean;
}

const plan: fc.Arbitrary<Plan> = fc.record({
  workspace: fc.constantFrom(...WORKSPACES),
  rank: fc.nat(2),
  canBeServed: fc.boolean(),
});

/** Items with the start times in any order, no two of them the same. */
const items = fc
  .array(plan, { maxLength: 60 })
  .chain((plans) =>
    fc
      .shuffledSubarray([...plans.keys()], { minLength: plans.length, maxLength: plans.length })
      .map((order) => ({ plans, order })),
  );

const createItems = ({ plans, order }: { plans: Plan[]; order: number[] }): Item[] =>
  plans.map((planned, number) => ({
    ...planned,
    number,
    workspace: asId(planned.workspace),
    share: SHARES[planned.workspace],
    work: 1,
    startBy: 10 * (order[number] ?? 0),
    isWaiting: true,
  }));

/** Time of a take, which lets more and more items be late. */
const timeOf = (takes: number, paceMs: number): number => takes * paceMs;

/** Numbers of the items of one rank in the order in which they are served. */
function serveFairly(all: readonly Item[], paceMs: number): number[] {
  const queue = new FairQueue<Item>();
  for (const name of WORKSPACES) queue.charge(asId(name), 1, SERVED_BEFORE[name]);
  for (const item of all) queue.add(item);
  const served: number[] = [];
  for (;;) {
    const item = queue.peekWhere(timeOf(served.length, paceMs), canBeServed);
    if (!item) return served;
    item.isWaiting = false;
    queue.remove(item);
    queue.charge(item.workspace, item.share, item.work);
    served.push(item.number);
  }
}

// Guards against items that change the order of others although they can't be served.
test('skipping the items that can not be served gives the order without them', () => {
  fc.assert(
    fc.property(items, fc.nat(40), (drawn, paceMs) => {
      const skipped = serveFairly(createItems(drawn), paceMs);
      const removed = serveFairly(createItems(drawn).filter(canBeServed), paceMs);
      assert.deepEqual(skipped, removed);
    }),
    { seed: 39, numRuns: 2000 },
  );
});

// Guards against items that are lost or served twice as others leave and come between the takes.
test('each item that can be served is taken once, the most urgent rank first, and the others stay', () => {
  fc.assert(
    fc.property(items, fc.nat(40), fc.array(fc.nat(59)), (drawn, paceMs, leaving) => {
      const queue = new UrgencyQueue<Item>();
      const all = createItems(drawn);
      for (const item of all) queue.add(item);
      const left = new Set(leaving.map((at) => all[at]).filter((item) => item !== undefined));
      for (const item of left) queue.remove(item);
      const taken: Item[] = [];
      for (;;) {
        const item = queue.take(timeOf(taken.length, paceMs), canBeServed);
        if (!item) break;
        taken.push(item);
      }
      const staying = all.filter((item) => !left.has(item));
      const servable = staying.filter(canBeServed).map(({ number }) => number);
      assert.deepEqual(new Set(taken.map(({ number }) => number)), new Set(servable));
      assert.equal(taken.length, servable.length);
      assert.deepEqual(
        taken.map(({ rank }) => rank),
        taken.map(({ rank }) => rank).sort((a, b) => a - b),
      );
      assert.equal(queue.countAhead(Infinity), staying.length - servable.length);
      const rest = staying.filter((item) => !item.canBeServed);
      assert.ok(rest.every(({ isWaiting }) => isWaiting));
      for (const item of rest) assert.ok(queue.take(0, ({ number }) => number === item.number));
      assert.equal(queue.countAhead(Infinity), 0);
    }),
    { seed: 39, numRuns: 1000 },
  );
});

// Guards against a dispatch that takes longer than its interval when many take-ups wait for one version.
test('a tick with 2,000 waiting items, half of which can not be served, ends within its interval', (t) => {
  const placed = 50;
  const queue = new UrgencyQueue<Item>();
  for (let number = 0; number < 2000; number += 1) {
    const name = WORKSPACES[number % WORKSPACES.length] ?? 'a';
    queue.add({
      ...{ number, rank: number % 3, canBeServed: number % 2 === 1, workspace: asId(name) },
      ...{ share: 1, work: 1, startBy: 500 + (number % 500), isWaiting: true },
    });
  }
  const tick = (): number => {
    const startedAt = performance.now();
    for (let take = 0; take < placed; take += 1) assert.ok(queue.take(0, canBeServed));
    assert.equal(
      queue.take(0, () => false),
      undefined,
    );
    return performance.now() - startedAt;
  };
  const times = Array.from({ length: 11 }, tick).sort((a, b) => a - b);
  const [median = 0] = times.slice(5);
  t.diagnostic(`${placed} taken in ${median.toFixed(2)} ms (median of 11 ticks)`);
  assert.ok(median < TICK_MS, `${median} ms`);
});
