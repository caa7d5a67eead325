import assert from 'node:assert/strict';
import test from 'node:test';
import { createGroup, write } from '../simulation/createGroup';

for (const count of [1, 3, 5]) {
  test(`a group of ${count} forms, commits and applies on each replica`, async () => {
    const group = await createGroup({ count });
    await write(group, group.leader, 7);
    await group.cluster.run(100);
    for (const node of group.cluster.nodes) assert.equal(node.machine.value, 7);
    assert.deepEqual([...group.invariants.violations], []);
  });
}

test('a whole group that restarts has all that was acknowledged', async () => {
  const group = await createGroup();
  const { cluster } = group;
  for (let value = 1; value <= 5; value += 1) await write(group, group.leader, value);
  cluster.nodes.forEach((node) => cluster.crash(node));
  await cluster.startAll();
  const isLed = (): boolean => cluster.leader?.replica?.holdsLease ?? false;
  assert.ok(await cluster.runUntil(isLed, 2000));
  assert.equal(cluster.leader?.machine.value, 5);
});

test('a follower that is down takes no memory, and catches up by a snapshot', async () => {
  const limits = { snapshotEntries: 50, trailingEntries: 10, chunkBytes: 16 };
  const group = await createGroup({ replica: limits });
  const { cluster, leader, others } = group;
  const [down] = others;
  assert.ok(down);
  cluster.crash(down);
  for (let value = 1; value <= 300; value += 1) await write(group, leader, value);
  const { lastIndex, snapshotIndex } = leader.replica?.status ?? {};
  assert.ok((lastIndex ?? 0) - (snapshotIndex ?? 0) <= 60);
  await cluster.startNow(down);
  assert.ok(await cluster.runUntil(() => down.machine.value === 300, 2000));
  assert.ok((down.replica?.status.snapshotIndex ?? 0) > 200);
});
