import assert from 'node:assert/strict';
import test from 'node:test';
import { stopBesideLoss, type StopBesideLoss } from './stopBesideLoss';
import { sweepStops, type SweepOptions } from './sweepStops';

/** The part of the sweep that runs with all tests; bench/sweep.ts runs the whole. */
const NEAR: Omit<SweepOptions, 'voters' | 'seeds'> = {
  firstOffsetMs: -300,
  lastOffsetMs: 900,
  stepMs: 120,
  delaysMs: [0, 200],
  kinds: ['machine', 'disk', 'freeze'],
};

async function findViolated(points: readonly StopBesideLoss[]): Promise<string[]> {
  const violated: string[] = [];
  for (const point of points) {
    const { violations } = await stopBesideLoss(point);
    if (violations.length > 0) violated.push(`${JSON.stringify(point)}: ${violations.join('; ')}`);
  }
  return violated;
}

// Guards against a planned stop that costs the group a vote which it needs for a loss close to it.
test('a group of three bears a stop beside a loss, and the next loss', async () => {
  assert.deepEqual(await findViolated(sweepStops({ ...NEAR, voters: 3, seeds: [1] })), []);
});

test('a group of five bears a stop beside two losses, and the next two', async () => {
  const options = { ...NEAR, voters: 5, seeds: [1], stepMs: 400 } as const;
  assert.deepEqual(await findViolated(sweepStops(options)), []);
});

// Guards against a new leader that counts anew for how long members have been silent.
test('a group of five bears the loss of two followers after a change of leader', async () => {
  const point: StopBesideLoss = {
    voters: 5,
    seed: 1,
    stopped: 'leader',
    lost: 'follower',
    kind: 'machine',
    delayMs: 0,
    offsetMs: -800,
  };
  assert.deepEqual(await findViolated([point]), []);
});

// Guards against elections and changes of the membership that need more writes than there is time for.
test('a group of three bears a stop beside a loss on disks whose syncs take long', async () => {
  const options = { ...NEAR, voters: 3, seeds: [1], stepMs: 200, delaysMs: [200] } as const;
  assert.deepEqual(await findViolated(sweepStops({ ...options, syncMs: 100 })), []);
});

// Guards against a stop that goes on with its vote before the successor of a lost member has joined.
test('a group of three bears a stop beside a loss when the processes of successors start late', async () => {
  const late = { voters: 3, seed: 1, stopped: 'leader', lost: 'follower', startMs: 2500 } as const;
  const points: StopBesideLoss[] = [
    { ...late, kind: 'machine', delayMs: 1000, offsetMs: 3100 },
    { ...late, kind: 'disk', delayMs: 0, offsetMs: 1300 },
  ];
  assert.deepEqual(await findViolated(points), []);
});
