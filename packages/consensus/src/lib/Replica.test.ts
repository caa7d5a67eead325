import assert from 'node:assert/strict';
import test from 'node:test';
import { SimulatedCluster } from '../simulation/SimulatedCluster';

const SECOND_MS = 1000;

async function createGroup(count: number, seed = 1): Promise<SimulatedCluster> {
  const names = ['a', 'b', 'c', 'd', 'e'].slice(0, count);
  const cluster = new SimulatedCluster({ seed, names });
  await cluster.startAll();
  const isFormed = (): boolean =>
    cluster.leader?.replica?.status.membership.members.filter(({ kind }) => kind === 'voter')
      .length === count && cluster.leader.replica.holdsLease;
  assert.ok(await cluster.runUntil(isFormed, 10 * SECOND_MS), 'the group forms');
  return cluster;
}

for (const count of [1, 3, 5]) {
  test(`a group of ${count} forms and commits`, async () => {
    const cluster = await createGroup(count);
    let value: string | undefined;
    const command = Buffer.from(JSON.stringify({ type: 'write', id: 1, value: 7 }));
    cluster.leader?.replica?.propose(command).then((result) => {
      value = Buffer.from(result._unsafeUnwrap().result).toString();
    });
    assert.ok(await cluster.runUntil(() => value !== undefined, SECOND_MS));
    await cluster.run(200);
    for (const node of cluster.nodes) assert.equal(node.machine.value, 7);
  });
}
