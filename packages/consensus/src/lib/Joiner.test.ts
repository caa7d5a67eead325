import assert from 'node:assert/strict';
import test from 'node:test';
import { awaitLeader, createGroup, write, type Group } from '../simulation/createGroup';
import type { SimulatedNode } from '../simulation/SimulatedCluster';

const REPAIR_MS = 10_000;

async function loseDisk({ cluster }: Group, node: SimulatedNode): Promise<void> {
  cluster.crash(node);
  node.disk.wipe();
  await cluster.startNow(node);
}

function isRepaired({ cluster }: Group, node: SimulatedNode): boolean {
  const incarnation = node.replica?.status.identity.incarnation;
  return cluster.committedVoters.some((voter) => voter === incarnation);
}

test('losing a second disk right after a repair loses no entries', async () => {
  const small = { snapshotEntries: 10, trailingEntries: 2, chunkBytes: 20 };
  for (let seed = 1; seed <= 10; seed += 1) {
    const group = await createGroup({ seed, replica: small });
    const { cluster, leader, others, workload, invariants } = group;
    const [first, slow] = others;
    assert.ok(first && slow);
    // The entries that the slow follower lacks are only on the leader and on the first disk lost.
    cluster.network.partition([leader.name], [slow.name]);
    for (let value = 1; value <= 20; value += 1) await write(group, leader, value);
    await loseDisk(group, first);
    cluster.network.heal();
    assert.ok(await cluster.runUntil(() => isRepaired(group, first), REPAIR_MS));
    await loseDisk(group, leader);
    assert.ok(await awaitLeader(group, [leader]));
    assert.ok(await cluster.runUntil(() => isRepaired(group, leader), REPAIR_MS));
    const next = await awaitLeader(group);
    assert.ok(next);
    await workload.operate(next, { type: 'read' });
    assert.equal(next.machine.value, 20);
    invariants.checkHistory();
    assert.deepEqual([...invariants.violations], []);
  }
});

/**
 * Commits a write on the leader and one follower. The follower loses its disk while the leader is
 * down, and restarts with its old incarnation or a new one. Returns the group and that follower.
 */
async function loseOneOfTwoCopies(keepsIncarnation: boolean) {
  const group = await createGroup();
  const { cluster, leader, others } = group;
  const [lost, other] = others;
  assert.ok(lost && other);
  cluster.network.partition([leader.name], [other.name]);
  await write(group, leader, 1);
  cluster.crash(leader);
  cluster.crash(lost);
  lost.disk.wipe();
  const incarnation = keepsIncarnation ? lost.lastIncarnation : undefined;
  cluster.start(lost, { incarnation }).catch(assert.fail);
  cluster.network.heal();
  await cluster.run(2000);
  return { group, lost };
}

test('a replica that lost its disk does not vote as its old incarnation', async () => {
  const { group, lost } = await loseOneOfTwoCopies(false);
  const { cluster, leader } = group;
  assert.equal(await awaitLeader(group, [], 2000), undefined);
  await cluster.startNow(leader);
  assert.equal(await awaitLeader(group), leader);
  assert.ok(await cluster.runUntil(() => isRepaired(group, lost), REPAIR_MS));
  assert.equal(leader.machine.value, 1);
});

test('a replica that voted as its old incarnation would lose a write', async () => {
  const { group } = await loseOneOfTwoCopies(true);
  const elected = await awaitLeader(group);
  assert.ok(elected);
  await group.workload.operate(elected, { type: 'read' });
  group.invariants.checkHistory();
  assert.ok(group.invariants.violations.has('the history is not linearizable'));
});

test('a founder that lost its disk joins the group instead of founding a new one', async () => {
  const group = await createGroup();
  const { cluster, invariants } = group;
  const founder = cluster.node('a');
  await write(group, group.leader, 1);
  await loseDisk(group, founder);
  assert.ok(await cluster.runUntil(() => isRepaired(group, founder), REPAIR_MS));
  await cluster.run(200);
  assert.equal(founder.machine.value, 1);
  assert.deepEqual([...invariants.violations], []);
});

test('an admitted replica becomes a voter, and a removed one no longer is', async () => {
  const group = await createGroup();
  const { cluster, leader } = group;
  const added = cluster.add('d');
  await cluster.startNow(added);
  await cluster.run(1000);
  assert.equal(cluster.committedVoters.length, 3);
  leader.replica?.addReplica(added.name).catch(assert.fail);
  assert.ok(await cluster.runUntil(() => isRepaired(group, added), REPAIR_MS));
  assert.equal(cluster.committedVoters.length, 4);
  leader.replica?.removeReplica(added.name).catch(assert.fail);
  assert.ok(await cluster.runUntil(() => cluster.committedVoters.length === 3, REPAIR_MS));
  leader.replica?.removeReplica(leader.name).catch(assert.fail);
  assert.ok(await awaitLeader(group, [leader]));
  assert.equal(cluster.committedVoters.length, 2);
  assert.equal(leader.replica?.status.role, 'learner');
});

test('a leader can be re-elected while its own removal is not committed', async () => {
  const group = await createGroup({ count: 2 });
  const { cluster, leader, others, invariants } = group;
  const [other] = others;
  assert.ok(other);
  await write(group, leader, 1);
  cluster.network.partition([leader.name], [other.name]);
  leader.replica?.removeReplica(leader.name).catch(assert.fail);
  await cluster.run(500);
  cluster.network.heal();
  assert.ok(await cluster.runUntil(() => cluster.committedVoters.length === 1, REPAIR_MS));
  assert.ok(await awaitLeader(group, [leader]));
  assert.equal(other.machine.value, 1);
  assert.deepEqual([...invariants.violations], []);
});

test('a replica admitted as a learner applies commands and never votes', async () => {
  const group = await createGroup();
  const { cluster, leader, others } = group;
  const learner = cluster.add('observer');
  await cluster.startNow(learner);
  leader.replica?.addReplica(learner.name, false).catch(assert.fail);
  await cluster.run(1000);
  await write(group, leader, 1);
  await cluster.run(100);
  assert.equal(learner.machine.value, 1);
  assert.equal(learner.replica?.status.role, 'learner');
  const rejected = await learner.replica?.propose(new Uint8Array(1));
  assert.equal(rejected?._unsafeUnwrapErr().code.name, 'notLeader');
  // With both other voters down, the learner does not count for a quorum.
  others.forEach((node) => cluster.crash(node));
  await cluster.run(1000);
  assert.equal(leader.replica?.holdsLease, false);
  assert.equal(cluster.committedVoters.length, 3);
});

test('a replica that lost its disk is a member again although no seed leads', async () => {
  for (let seed = 1; seed <= 10; seed += 1) {
    const group = await createGroup({ seed, count: 5 });
    const { cluster, leader, others } = group;
    const [lost, follower] = others;
    assert.ok(lost && follower);
    await write(group, leader, 1);
    lost.seeds = [follower.name];
    await loseDisk(group, lost);
    assert.ok(await cluster.runUntil(() => isRepaired(group, lost), REPAIR_MS));
    assert.equal(lost.machine.value, 1);
  }
});
