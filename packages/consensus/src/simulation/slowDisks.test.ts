import assert from 'node:assert/strict';
import test from 'node:test';
import { required } from '@berylwood/base';
import { CATCH_UP_MS, ReplacedGroup } from './ReplacedGroup';
import type { SimulatedNode } from './SimulatedCluster';

const SYNC_MS = 200;
const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];

/** A group of three with a learner, which has been led by the same replica for a while, on slow disks. */
async function createSlowGroup(seed: number): Promise<ReplacedGroup> {
  const group = new ReplacedGroup({ seed, voters: 3, syncMs: SYNC_MS });
  await group.form();
  group.addMachine();
  await group.cluster.run(CATCH_UP_MS);
  return group;
}

function votersOf({ cluster }: ReplacedGroup): string[] {
  const members = cluster.leader?.replica?.status.membership.members ?? [];
  return members.filter(({ kind }) => kind === 'voter').map(({ replica }) => replica);
}

/** The founding machines that follow. */
function followersOf({ cluster, running }: ReplacedGroup): [SimulatedNode, SimulatedNode] {
  const [first, second] = running.filter(
    (node) => node !== cluster.leader && !node.name.startsWith('n'),
  );
  return [required(first, 'a follower'), required(second, 'another follower')];
}

// Guards against a member that counts as silent for the whole time of a leader when it has only just joined.
test('a replica that lost its disk votes again although it is slow to reply', async () => {
  for (const seed of SEEDS) {
    const group = await createSlowGroup(seed);
    const [follower] = followersOf(group);
    group.loseDisk(follower, 200).catch(group.fail);
    await group.cluster.run(CATCH_UP_MS);
    assert.deepEqual(votersOf(group).sort(), ['a', 'b', 'c'], `seed ${seed}`);
    assert.equal(group.changes, 0, `seed ${seed}: ${group.trace.join('\n')}`);
  }
});

// Guards against a change of one member that also changes the incarnation from before the loss of its disk, so that
// the live one never gets a vote.
test('a replica that lost its disk gets a vote beside the member that it was before', async () => {
  for (const seed of SEEDS) {
    const group = await createSlowGroup(seed);
    const { cluster } = group;
    const [follower, other] = followersOf(group);
    let isMuted = true;
    cluster.network.filter = ({ from, body }) =>
      !isMuted || from.replica !== follower.name || body.type !== 'appendReply';
    group.loseDisk(follower, 200).catch(group.fail);
    await cluster.run(CATCH_UP_MS);
    isMuted = false;
    await cluster.run(CATCH_UP_MS);
    group.replaceLost(other, 0).catch(group.fail);
    await cluster.run(CATCH_UP_MS);
    const trace = `seed ${seed}: ${group.trace.join('\n')}`;
    assert.ok(votersOf(group).includes(follower.name), trace);
    await group.checkRecovery();
    assert.deepEqual([...group.invariants.violations], [], trace);
  }
});
