import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import { explore, type Exploration } from './explore';

const MAX_SEED = 1_000_000;

/** Explores schedules drawn from a fixed seed. */
async function exploreMany(numRuns: number, exploration: Omit<Exploration, 'seed'>): Promise<void> {
  const property = fc.asyncProperty(fc.integer({ min: 1, max: MAX_SEED }), async (seed) => {
    const { violations, acknowledged } = await explore({ ...exploration, seed });
    assert.deepEqual(violations, []);
    assert.ok(acknowledged > 0);
  });
  await fc.assert(property, { seed: 1, numRuns, endOnFailure: true });
}

test('no schedule of faults breaks a group of three', () => exploreMany(200, {}));

test('no schedule of faults breaks a group of five', () => exploreMany(30, { replicas: 5 }));

test('no schedule with many partitions and lost messages breaks a group', () =>
  exploreMany(40, { weights: { cutPair: 12, partition: 8, changeQuality: 8, heal: 12 } }));

test('a schedule is the same each time that it is run', async () => {
  const first = await explore({ seed: 5 });
  assert.deepEqual(await explore({ seed: 5 }), first);
});
