import assert from 'node:assert/strict';
import test from 'node:test';
import fc from 'fast-check';
import { replaceReplicas } from './replaceReplicas';

const MAX_SEED = 1_000_000;

async function replaceMany(numRuns: number, voters: 3 | 5): Promise<void> {
  const property = fc.asyncProperty(fc.integer({ min: 1, max: MAX_SEED }), async (seed) => {
    assert.deepEqual(await replaceReplicas({ seed, voters }), { violations: [], trace: [] });
  });
  await fc.assert(property, { seed: 1, numRuns, endOnFailure: true });
}

// Guards against a group that ends for good when a disk is lost right after a replacement.
test('a group of three bears replacements and lost disks, one at a time', () => replaceMany(30, 3));

test('a group of five bears replacements and lost disks, two at a time', () => replaceMany(10, 5));

// Guards against a leader that appends a change of the membership while it transfers its leadership.
test('a leaving leader gets rid of its leadership while another replica joins', async () => {
  assert.deepEqual(await replaceReplicas({ seed: 51626, voters: 3 }), {
    violations: [],
    trace: [],
  });
});

// Guards against a stop that goes on with its vote when the successor that was to take it is lost.
test('a replica that stops waits when its successor is lost on the way to its vote', async () => {
  for (const seed of [7310252, 7314317, 7314927, 7316784, 7316837, 7317189]) {
    const finding = await replaceReplicas({ seed, voters: 3 });
    assert.deepEqual(finding, { violations: [], trace: [] }, `seed ${seed}`);
  }
});
