import assert from 'node:assert/strict';
import type { ReplicaOptions, UnsafeDeviations } from '../lib/ReplicaOptions';
import { Invariants } from './Invariants';
import { SimulatedCluster, type SimulatedNode } from './SimulatedCluster';
import { Workload } from './Workload';

const FORMATION_MS = 10_000;

/** A formed group with its workload and the invariants that are checked at each step. */
export interface Group {
  readonly cluster: SimulatedCluster;
  readonly workload: Workload;
  readonly invariants: Invariants;
  readonly leader: SimulatedNode;
  readonly others: readonly SimulatedNode[];
}

/** Options of a group for a test. */
export interface GroupOptions {
  readonly seed?: number;
  readonly count?: number;
  readonly unsafe?: UnsafeDeviations;
  readonly replica?: Partial<ReplicaOptions>;
}

/** Starts replicas with empty disks and waits until all of them vote and one holds the lease. */
export async function createGroup(options: GroupOptions = {}): Promise<Group> {
  const { seed = 1, count = 3, unsafe, replica } = options;
  const names = ['a', 'b', 'c', 'd', 'e'].slice(0, count);
  const cluster = new SimulatedCluster({ seed, names, unsafe, replica });
  const workload = new Workload(cluster);
  const invariants = new Invariants(cluster, workload);
  cluster.onStep = () => invariants.check();
  await cluster.startAll();
  const isFormed = (): boolean =>
    cluster.committedVoters.length === count && (cluster.leader?.replica?.holdsLease ?? false);
  assert.ok(await cluster.runUntil(isFormed, FORMATION_MS), 'the group forms');
  const { leader } = cluster;
  assert.ok(leader);
  const others = cluster.nodes.filter((node) => node !== leader);
  return { cluster, workload, invariants, leader, others };
}

/** Writes a value and waits for the answer. */
export async function write(group: Group, node: SimulatedNode, value: number): Promise<void> {
  const { cluster, workload } = group;
  let isDone = false;
  workload.operate(node, { type: 'write', value }).then(() => {
    isDone = true;
  }, assert.fail);
  assert.ok(await cluster.runUntil(() => isDone, FORMATION_MS), 'the write is answered');
}

/** Waits until a replica other than the given ones leads under its lease. */
export async function awaitLeader(
  { cluster }: Group,
  except: readonly SimulatedNode[] = [],
  limitMs = FORMATION_MS,
): Promise<SimulatedNode | undefined> {
  const find = (): SimulatedNode | undefined =>
    cluster.nodes.find((node) => !except.includes(node) && node.replica?.holdsLease);
  await cluster.runUntil(() => find() !== undefined, limitMs);
  return find();
}
