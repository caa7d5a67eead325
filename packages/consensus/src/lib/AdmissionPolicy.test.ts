import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SimulatedCluster } from '../simulation/SimulatedCluster';
import { AdmissionPolicy } from './AdmissionPolicy';
import type { ReplicaName } from './ids';

const FORMATION_MS = 10_000;

/** A policy with members that are about to stop. */
class StoppingMembers extends AdmissionPolicy {
  readonly names = new Set<string>();

  override admit(): undefined {
    return undefined;
  }

  override mayVote(replica: ReplicaName): boolean {
    return !this.names.has(replica);
  }
}

// Guards against a vote for a replica that stops: the group would miss it from then on.
test('a joining replica that is about to stop gets no vote', async () => {
  const admission = new StoppingMembers();
  admission.names.add('c');
  const cluster = new SimulatedCluster({ seed: 1, names: ['a', 'b', 'c'], replica: { admission } });
  await cluster.startAll();
  const hasVoters = (count: number) => (): boolean => cluster.committedVoters.length === count;
  assert.ok(await cluster.runUntil(hasVoters(2), FORMATION_MS), 'two replicas vote');
  assert.equal(await cluster.runUntil(hasVoters(3), FORMATION_MS), false, 'the third has no vote');
  admission.names.clear();
  assert.ok(await cluster.runUntil(hasVoters(3), FORMATION_MS), 'the third votes once it stays');
});
