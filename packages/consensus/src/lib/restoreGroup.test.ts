import assert from 'node:assert/strict';
import test from 'node:test';
import { SimulatedCluster, drain } from '../simulation/SimulatedCluster';
import { createReplicaName } from './ids';
import { restoreGroup } from './restoreGroup';

const RESTORE_MS = 100;

test('a restored group starts from the given state, and other replicas join it', async () => {
  const cluster = new SimulatedCluster({ seed: 1, names: ['a', 'b', 'c'] });
  const founder = cluster.node('a');
  const backup = {
    replica: founder.name,
    address: '',
    seeds: ['b', 'c'].map(createReplicaName),
    state: Buffer.from('42'),
  };
  const restoring = restoreGroup(founder.disk, backup);
  await drain();
  await cluster.run(RESTORE_MS);
  assert.ok((await restoring).isOk());
  const second = await restoreGroup(founder.disk, backup);
  assert.equal(second._unsafeUnwrapErr().code.name, 'logDamaged');
  await cluster.startAll();
  assert.ok(await cluster.runUntil(() => cluster.committedVoters.length === 3, 5000));
  await cluster.run(RESTORE_MS);
  for (const node of cluster.nodes) assert.equal(node.machine.value, 42);
});
