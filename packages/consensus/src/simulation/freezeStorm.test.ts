import assert from 'node:assert/strict';
import test from 'node:test';
import { groupTimes } from '../lib/groupTimes';
import { freezeStorm } from './freezeStorm';

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];
const { replaceAfterMs } = groupTimes.limits;

// Guards against a vote that is moved away from a machine that only stands still for a moment.
test('a voter that is frozen for less than the limit of silence keeps its vote', async () => {
  for (const seed of SEEDS) {
    for (const voters of [3, 5] as const) {
      // The last reply before a freeze may be a heartbeat old, and the first after it a heartbeat late.
      const maxFreezeMs = replaceAfterMs - 2 * groupTimes.heartbeatMs;
      const storm = { seed, voters, freezes: 20, minFreezeMs: 100, maxFreezeMs };
      assert.equal(await freezeStorm(storm), 0, `seed ${seed} with ${voters} voters`);
    }
  }
});
