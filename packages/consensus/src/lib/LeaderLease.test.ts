import assert from 'node:assert/strict';
import test from 'node:test';
import { awaitLeader, createGroup, write } from '../simulation/createGroup';
import type { UnsafeDeviations } from './ReplicaOptions';

const LEASE_MS = 120;
const SEED_COUNT = 12;
const NOT_LINEARIZABLE = 'the history is not linearizable';
const TWO_LEASES = 'two replicas hold the lease';

/**
 * Partitions the leader from one follower, which starts elections, and then from the other follower
 * while the lease may still be valid. If `restartsVoter`, the other follower restarts before that.
 */
async function deposeUnderLease(seed: number, unsafe: UnsafeDeviations, restartsVoter: boolean) {
  const group = await createGroup({ seed, unsafe });
  const { cluster, leader, others, workload, invariants } = group;
  const [voter, candidate] = others;
  assert.ok(voter && candidate);
  cluster.network.partition([leader.name], [candidate.name]);
  const isElected = (): boolean => candidate.replica?.status.role === 'leader';
  if (restartsVoter) {
    await cluster.run(200);
    cluster.crash(voter);
    await cluster.startNow(voter);
    cluster.network.partition([leader.name], [voter.name]);
  }
  await cluster.runUntil(isElected, restartsVoter ? LEASE_MS : 1000);
  cluster.network.partition([leader.name], [voter.name]);
  await cluster.run(10);
  await write(group, candidate, 5);
  await workload.operate(leader, { type: 'read' });
  await cluster.run(1000);
  invariants.checkHistory();
  return invariants.violations;
}

/** Collects the violations over a fixed range of seeds. */
async function deposeOverSeeds(unsafe: UnsafeDeviations, restartsVoter: boolean) {
  const found = new Set<string>();
  for (let seed = 1; seed <= SEED_COUNT; seed += 1) {
    const violations = await deposeUnderLease(seed, unsafe, restartsVoter);
    violations.forEach((violation) => found.add(violation));
  }
  return found;
}

test('a voter that granted a lease does not vote until the lease expires', async () => {
  assert.deepEqual([...(await deposeOverSeeds({}, false))], []);
  const found = await deposeOverSeeds({ ignoreGrantedLease: true }, false);
  assert.ok(found.has(TWO_LEASES) && found.has(NOT_LINEARIZABLE));
});

test('a new leader waits for leases that voters may have granted before a restart', async () => {
  assert.deepEqual([...(await deposeOverSeeds({}, true))], []);
  const found = await deposeOverSeeds({ skipLeaseWait: true }, true);
  assert.ok(found.has(TWO_LEASES) && found.has(NOT_LINEARIZABLE));
});

/** Suspends the leader's machine, so that its monotonic clock stops. */
async function suspendLeader(unsafe: UnsafeDeviations) {
  const group = await createGroup({ unsafe });
  const { cluster, leader, invariants } = group;
  const start = cluster.base.now();
  leader.timer.freeze();
  assert.ok(await awaitLeader(group, [leader]));
  leader.timer.thaw(cluster.base.now() - start);
  await cluster.run(5);
  return invariants.violations;
}

test('a leader does not rely on its lease after its machine was suspended', async () => {
  assert.deepEqual([...(await suspendLeader({}))], []);
  assert.ok((await suspendLeader({ ignoreWallClock: true })).has(TWO_LEASES));
});

test('a leader that was paused has lost its lease when it resumes', async () => {
  const group = await createGroup();
  const { cluster, leader, invariants } = group;
  leader.timer.freeze();
  const next = await awaitLeader(group, [leader]);
  leader.timer.thaw();
  assert.equal(leader.replica?.holdsLease, false);
  await cluster.run(100);
  assert.equal(cluster.leader, next);
  assert.deepEqual([...invariants.violations], []);
});

test('a leader without a quorum steps down and settles its pending proposals', async () => {
  const { cluster, leader, others } = await createGroup();
  cluster.network.partition(
    [leader.name],
    others.map(({ name }) => name),
  );
  let notRun: unknown;
  leader.replica?.propose(new Uint8Array(1)).then((result) => {
    notRun = result._unsafeUnwrapErr().notRun;
  }, assert.fail);
  await cluster.run(400);
  assert.equal(notRun, 'unknown');
  assert.notEqual(leader.replica?.status.role, 'leader');
  const rejected = await leader.replica?.propose(new Uint8Array(1));
  assert.equal(rejected?._unsafeUnwrapErr().notRun, true);
});
