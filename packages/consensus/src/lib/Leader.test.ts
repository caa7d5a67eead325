import assert from 'node:assert/strict';
import test from 'node:test';
import { awaitLeader, createGroup } from '../simulation/createGroup';
import { encodeCommand } from '../simulation/RegisterMachine';
import type { Message } from './Message';
import type { UnsafeDeviations } from './ReplicaOptions';

function command(id: number): Uint8Array {
  return encodeCommand({ id, action: { type: 'write', value: id } });
}

/**
 * The schedule of figure 8 of the Raft paper with three replicas: a later leader replicates entries
 * of an old term to a majority, then the next leader overwrites them.
 */
async function replaceOldTermEntries(seed: number, unsafe: UnsafeDeviations) {
  const { cluster, leader, others, invariants } = await createGroup({
    seed,
    unsafe,
    replica: { batchBytes: 1 },
  });
  const [voter, rival] = others;
  assert.ok(voter && rival);
  const { network } = cluster;
  const oldTerm = leader.replica?.status.term ?? 0;
  const propose = (node: typeof leader, id: number): void => {
    node.replica?.propose(command(id)).catch(assert.fail);
  };
  const isVoterPreVote = ({ body, from }: Message): boolean =>
    body.type === 'preVote' && from.replica === voter.name;
  network.filter = (message) => {
    const { body } = message;
    if (body.type === 'append') return body.entries.every(({ term }) => term <= oldTerm);
    return !isVoterPreVote(message);
  };
  network.partition([leader.name], [voter.name, rival.name]);
  propose(leader, 1);
  propose(leader, 2);
  const isRivalElected = (): boolean => rival.replica?.status.role === 'leader';
  assert.ok(await cluster.runUntil(isRivalElected, 2000));
  propose(rival, 3);
  await cluster.run(10);
  network.heal();
  network.partition([rival.name], [leader.name, voter.name]);
  const isReelected = (): boolean => leader.replica?.status.role === 'leader';
  assert.ok(await cluster.runUntil(isReelected, 4000));
  await cluster.run(60);
  network.heal();
  network.filter = (message) => !isVoterPreVote(message);
  network.partition([leader.name], [voter.name, rival.name]);
  assert.ok(await cluster.runUntil(isRivalElected, 4000));
  await cluster.run(100);
  return invariants.violations;
}

test('entries of an older term are committed only with an entry of the current term', async () => {
  assert.deepEqual([...(await replaceOldTermEntries(1, {}))], []);
  const violations = await replaceOldTermEntries(1, { commitOlderTerms: true });
  assert.ok(violations.has('replicas applied different commands at one index'));
});

test('proposals beyond the limits are rejected as not run', async () => {
  const limits = { maxProposals: 3, maxCommandBytes: 100 };
  const { cluster, leader, others } = await createGroup({ replica: limits });
  cluster.network.partition(
    [leader.name],
    others.map(({ name }) => name),
  );
  const large = await leader.replica?.propose(new Uint8Array(101));
  assert.equal(large?._unsafeUnwrapErr().code.name, 'commandTooLarge');
  for (let id = 1; id <= 3; id += 1) leader.replica?.propose(command(id)).catch(assert.fail);
  const rejected = await leader.replica?.propose(command(4));
  assert.equal(rejected?._unsafeUnwrapErr().code.name, 'queueFull');
  assert.equal(rejected?._unsafeUnwrapErr().notRun, true);
});

test('leadership is transferred without waiting for the lease', async () => {
  const group = await createGroup();
  const { cluster, leader, invariants } = group;
  const start = cluster.base.now();
  let isOver = false;
  leader.replica?.transferLeadership().then(() => {
    isOver = true;
  }, assert.fail);
  assert.ok(await awaitLeader(group, [leader]));
  assert.ok(cluster.base.now() - start < 60);
  assert.ok(await cluster.runUntil(() => isOver, 100));
  assert.equal(leader.replica?.status.role, 'follower');
  assert.deepEqual([...invariants.violations], []);
});

test('a leader that receives a newer term in a reply sends no appends in that term', async () => {
  const { cluster, leader, others } = await createGroup();
  const [other] = others;
  const status = leader.replica?.status;
  assert.ok(other?.replica && status);
  let reply: Message | undefined;
  cluster.network.filter = (message) => {
    if (message.body.type === 'appendReply') reply = message;
    return true;
  };
  await cluster.run(50);
  assert.ok(reply?.body.type === 'appendReply');
  const newerTerm = status.term + 1;
  const rejection = {
    ...reply,
    term: newerTerm,
    body: { ...reply.body, accepted: false, hint: 1 },
  };
  const sent: Message[] = [];
  cluster.network.filter = (message) => {
    if (message.term === newerTerm && message.body.type === 'append') sent.push(message);
    return message.body.type !== 'append';
  };
  leader.replica?.propose(command(1)).catch(assert.fail);
  await cluster.run(10);
  cluster.network.send(other.name, leader.name, rejection);
  await cluster.run(10);
  assert.equal(leader.replica?.status.role, 'follower');
  assert.deepEqual(sent, []);
});
