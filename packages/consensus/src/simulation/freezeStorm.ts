import { Random } from '@berylwood/base';
import { ReplacedGroup, type ReplacedGroupOptions } from './ReplacedGroup';

/** A storm of freezes: one machine after the other stands still for a time. */
export interface FreezeStorm extends ReplacedGroupOptions {
  readonly freezes: number;
  readonly minFreezeMs: number;
  readonly maxFreezeMs: number;
}

/** Longest pause between two freezes, in milliseconds. */
const MAX_PAUSE_MS = 3000;

/** Plays a storm in a group with one learner; returns the number of planned changes of the membership. */
export async function freezeStorm(storm: FreezeStorm): Promise<number> {
  const { freezes, minFreezeMs, maxFreezeMs } = storm;
  const group = new ReplacedGroup(storm);
  const { cluster } = group;
  // The schedule is the same whatever the group draws meanwhile.
  const random = new Random(storm.seed);
  await group.form();
  group.addMachine();
  await cluster.run(MAX_PAUSE_MS);
  const before = group.changes;
  for (let count = 0; count < freezes; count += 1) {
    const durationMs = random.between(minFreezeMs, maxFreezeMs);
    group.freeze(random.pick(group.running), durationMs).catch(group.fail);
    await cluster.run(durationMs + random.between(0, MAX_PAUSE_MS));
  }
  return group.changes - before;
}
