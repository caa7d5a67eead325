import assert from 'node:assert/strict';
import { test } from 'node:test';
import { awaitLeader, createGroup, write } from '../simulation/createGroup';
import { groupTimes } from './groupTimes';

const { heartbeatMs, leaseMs, electionTimeoutMs } = groupTimes;
const replica = { heartbeatMs, leaseMs, electionTimeoutMs };
const FOLLOWERS = [0, 1];

const SLOW_SEEDS = 40;

/** Time that each sync takes longer; a vote needs two. */
const SLOW_SYNC_MS = 200;

/** Time that one sync takes on a disk that hangs. */
const HUNG_SYNC_MS = 5000;

/** Time since the loss of a follower, from one that no heartbeat has shown to one that several have. */
const LOST_MS = [0, 100, 200, 400, 800];

// Guards against a leader that hands over to a voter that has just been lost, and waits for it.
test('leadership goes to a live voter, whichever follower is lost just before', async () => {
  for (const at of FOLLOWERS) {
    for (const lostMs of LOST_MS) {
      const { cluster, leader, others, ...group } = await createGroup({ replica });
      const lost = others[at];
      assert.ok(lost);
      cluster.crash(lost);
      await cluster.run(lostMs);
      leader.replica?.transferLeadership().catch(assert.fail);
      const next = await awaitLeader({ cluster, leader, others, ...group }, [leader], leaseMs);
      assert.ok(next, `follower ${at}, lost for ${lostMs} ms`);
    }
  }
});

test('leadership is not handed to an excluded voter', async () => {
  const group = await createGroup({ replica });
  const { cluster, leader, others } = group;
  const [first, second] = others;
  assert.ok(first && second);
  leader.replica?.transferLeadership((name) => name === first.name).catch(assert.fail);
  assert.equal(await awaitLeader(group, [leader], leaseMs), second);
  await cluster.run(electionTimeoutMs);
  second.replica?.transferLeadership(() => true).catch(assert.fail);
  assert.equal(await awaitLeader(group, [second], electionTimeoutMs), undefined);
});

// Guards against a second successor that stands while the first writes its vote, so that the votes are split.
test('one successor stands when votes take long to write', async () => {
  for (let seed = 1; seed <= SLOW_SEEDS; seed += 1) {
    const group = await createGroup({ seed, replica });
    const { cluster, leader } = group;
    for (const { disk } of cluster.nodes) disk.slownessMs = SLOW_SYNC_MS;
    await write(group, leader, seed);
    const term = leader.replica?.status.term ?? 0;
    leader.replica?.transferLeadership().catch(assert.fail);
    const next = await awaitLeader(group, [leader], 2 * electionTimeoutMs);
    assert.equal(next?.replica?.status.term, term + 1, `seed ${seed}`);
  }
});

// Guards against a leader that waits for a lost successor for as long as a write of its own disk once hung.
test('leadership goes to a live voter soon after a disk has hung', async () => {
  for (const at of FOLLOWERS) {
    const group = await createGroup({ replica });
    const { cluster, leader, others } = group;
    const lost = others[at];
    assert.ok(lost);
    leader.disk.slownessMs = HUNG_SYNC_MS;
    await write(group, leader, at);
    leader.disk.slownessMs = 0;
    await cluster.run(HUNG_SYNC_MS);
    cluster.crash(lost);
    leader.replica?.transferLeadership().catch(assert.fail);
    const next = await awaitLeader(group, [leader], 2 * electionTimeoutMs);
    assert.ok(next, `follower ${at}`);
  }
});
