import type { UnsafeDeviations } from '../lib/ReplicaOptions';
import { DEFAULT_WEIGHTS, FaultInjector, type FaultWeights } from './FaultInjector';
import { Invariants } from './Invariants';
import { SimulatedCluster } from './SimulatedCluster';
import { Workload } from './Workload';

/** One random schedule. */
export interface Exploration {
  readonly seed: number;
  readonly replicas?: number;
  readonly durationMs?: number;
  readonly clients?: number;
  readonly weights?: Partial<FaultWeights>;
  readonly unsafe?: UnsafeDeviations;
}

/** What a schedule came to. */
export interface Finding {
  readonly violations: readonly string[];
  readonly operations: number;
  readonly acknowledged: number;
}

const DEFAULT_DURATION_MS = 3000;
const DEFAULT_CLIENTS = 3;
const FORMATION_MS = 20_000;
const RECOVERY_MS = 10_000;
const CLOCK_RATE_SPREAD = 0.009;

/** Small limits, so that segments, snapshots and parts of snapshots occur in a short run. */
const SMALL_LIMITS = {
  snapshotEntries: 24,
  trailingEntries: 6,
  segmentBytes: 1200,
  chunkBytes: 64,
  batchBytes: 400,
  maxInflight: 3,
};

async function isRecovered(cluster: SimulatedCluster, workload: Workload): Promise<boolean> {
  const before = workload.acknowledged.size;
  return cluster.runUntil(() => workload.acknowledged.size > before + 2, RECOVERY_MS);
}

/** Runs a schedule of faults against concurrent clients and checks what they saw. */
export async function explore(exploration: Exploration): Promise<Finding> {
  const { seed, replicas = 3, unsafe = {}, clients = DEFAULT_CLIENTS } = exploration;
  const names = ['a', 'b', 'c', 'd', 'e'].slice(0, replicas);
  const clockRateSpread = CLOCK_RATE_SPREAD;
  const cluster = new SimulatedCluster({
    seed,
    names,
    clockRateSpread,
    replica: SMALL_LIMITS,
    unsafe,
  });
  const workload = new Workload(cluster);
  const invariants = new Invariants(cluster, workload);
  cluster.onStep = () => invariants.check();
  await cluster.startAll();
  const isFormed = await cluster.runUntil(
    () => cluster.committedVoters.length === replicas,
    FORMATION_MS,
  );
  if (!isFormed) invariants.violations.add('the group did not form');
  const weights = { ...DEFAULT_WEIGHTS, ...exploration.weights };
  const faults = new FaultInjector(cluster, weights);
  workload.start(clients);
  faults.start();
  await cluster.run(exploration.durationMs ?? DEFAULT_DURATION_MS);
  await faults.stop();
  if (!(await isRecovered(cluster, workload)))
    invariants.violations.add('no progress after faults');
  workload.stop();
  invariants.checkHistory();
  return {
    violations: [...invariants.violations],
    operations: workload.history.length,
    acknowledged: workload.acknowledged.size,
  };
}
