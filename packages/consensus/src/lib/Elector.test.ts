import assert from 'node:assert/strict';
import test from 'node:test';
import { createGroup } from '../simulation/createGroup';
import type { UnsafeDeviations } from './ReplicaOptions';

/** A follower is cut off for a while; returns how many terms have begun after its return. */
async function returnFromIsolation(unsafe: UnsafeDeviations): Promise<number> {
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

test('a replica that returns from a partition does not depose the leader', async () => {
  assert.equal(await returnFromIsolation({}), 0);
  assert.ok((await returnFromIsolation({ skipPreVote: true })) > 0);
});
