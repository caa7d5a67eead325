import assert from 'node:assert/strict';
import test from 'node:test';
import { awaitLeader, createGroup } from '../simulation/createGroup';
import type { UnsafeDeviations } from './ReplicaOptions';

const SLOW_SYNC_MS = 1000;

/** Crashes all machines while a write awaits its sync; returns whether it was acknowledged. */
async function crashBeforeSync(unsafe: UnsafeDeviations) {
  const group = await createGroup({ unsafe });
  const { cluster, leader, workload, invariants } = group;
  cluster.nodes.forEach(({ disk }) => {
    disk.slownessMs = SLOW_SYNC_MS;
  });
  workload.operate(leader, { type: 'write', value: 1 }).catch(assert.fail);
  await cluster.run(50);
  const isAcknowledged = workload.acknowledged.size > 0;
  cluster.nodes.forEach((node) => {
    cluster.crash(node);
    node.disk.slownessMs = 0;
  });
  await cluster.startAll();
  const next = await awaitLeader(group);
  assert.ok(next);
  await workload.operate(next, { type: 'read' });
  invariants.checkHistory();
  return { isAcknowledged, violations: invariants.violations };
}

test('entries are not acknowledged before they are synced', async () => {
  const safe = await crashBeforeSync({});
  assert.equal(safe.isAcknowledged, false);
  assert.deepEqual([...safe.violations], []);
  const { isAcknowledged, violations } = await crashBeforeSync({ acknowledgeUnsynced: true });
  assert.equal(isAcknowledged, true);
  assert.ok(violations.has('the history is not linearizable'));
});
