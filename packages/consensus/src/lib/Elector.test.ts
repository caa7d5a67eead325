import assert from 'node:assert/strict';
import test from 'node:test';
import { awaitLeader, createGroup, write } from '../simulation/createGroup';
import { groupTimes } from './groupTimes';
import type { UnsafeDeviations } from './ReplicaOptions';

const FAILOVER_MS = 2000;

/** Enough crashes that two of three replicas time out within a round trip in some of them. */
const SPLIT_SEEDS = 400;

const SLOW_SEEDS = 100;
const YIELDING_SEEDS = 40;

/** Two syncs of a candidate and two of a voter take longer together than the shortest time-out of an election. */
const SLOW_SYNC_MS = 200;

/** Time after the last loss within which everything works again, in milliseconds. */
const SLOW_FAILOVER_MS = 12_000;

/** Partitions a follower for 2 s, heals the network and returns how many terms have started. */
async function countTermsAfterIsolation(unsafe: UnsafeDeviations): Promise<number> {
  const { cluster, leader, others } = await createGroup({ unsafe });
  const [isolated] = others;
  assert.ok(isolated);
  const term = leader.replica?.status.term ?? 0;
  const rest = cluster.nodes.filter((node) => node !== isolated).map(({ name }) => name);
  cluster.network.partition([isolated.name], rest);
  await cluster.run(2000);
  cluster.network.heal();
  await cluster.run(1000);
  return (cluster.leader?.replica?.status.term ?? 0) - term;
}

test('a replica that rejoins after a partition does not depose the leader', async () => {
  assert.equal(await countTermsAfterIsolation({}), 0);
  assert.ok((await countTermsAfterIsolation({ skipPreVote: true })) > 0);
});

test('a command is committed within 2 s of a leader crash', async () => {
  const times = { heartbeatMs: 100, leaseMs: 600, electionTimeoutMs: 700 };
  for (let seed = 1; seed <= 40; seed += 1) {
    const group = await createGroup({ seed, replica: times });
    const { cluster, leader } = group;
    await cluster.run(cluster.random.below(300));
    cluster.crash(leader);
    const crashedAt = cluster.base.now();
    const next = await awaitLeader(group, [leader]);
    assert.ok(next);
    await write(group, next, 1);
    assert.ok(cluster.base.now() - crashedAt < FAILOVER_MS);
  }
});

// Guards against two replicas that grant each other's pre-vote, and then split the votes.
test('two replicas that ask for pre-votes at the same moment need one election', async () => {
  const { heartbeatMs, leaseMs, electionTimeoutMs } = groupTimes;
  const replica = { heartbeatMs, leaseMs, electionTimeoutMs };
  for (let seed = 1; seed <= SPLIT_SEEDS; seed += 1) {
    const group = await createGroup({ seed, replica });
    const { cluster, leader } = group;
    cluster.crash(leader);
    const limitMs = 2 * electionTimeoutMs + 2 * heartbeatMs;
    assert.ok(
      await awaitLeader(group, [leader], limitMs),
      `seed ${seed}: a leader in one election`,
    );
  }
});

// Guards against elections that are given up before the voters have written their votes, so that none ever ends.
test('a leader is elected on disks whose syncs take long', async () => {
  const { heartbeatMs, leaseMs, electionTimeoutMs } = groupTimes;
  const replica = { heartbeatMs, leaseMs, electionTimeoutMs };
  for (let seed = 1; seed <= SLOW_SEEDS; seed += 1) {
    const group = await createGroup({ seed, replica });
    const { cluster, leader } = group;
    for (const { disk } of cluster.nodes) disk.slownessMs = SLOW_SYNC_MS;
    cluster.crash(leader);
    const next = await awaitLeader(group, [leader], SLOW_FAILOVER_MS);
    assert.ok(next, `seed ${seed}: a leader within ${SLOW_FAILOVER_MS} ms`);
  }
});

// Guards against a leader that has to hand over at once, while another voter could have been elected.
test('a replica that is about to stop is elected only if no other stands', async () => {
  const { heartbeatMs, leaseMs, electionTimeoutMs } = groupTimes;
  const replica = { heartbeatMs, leaseMs, electionTimeoutMs };
  for (let seed = 1; seed <= YIELDING_SEEDS; seed += 1) {
    const group = await createGroup({ seed, replica });
    const { cluster, leader, others } = group;
    const [stopping, other] = others;
    assert.ok(stopping && other);
    stopping.replica?.yieldElections();
    cluster.crash(leader);
    assert.equal(await awaitLeader(group, [leader]), other, `seed ${seed}`);
    cluster.crash(other);
    await cluster.startNow(leader);
    assert.ok(await awaitLeader(group, [other]), `seed ${seed}: one of the others leads`);
  }
});
