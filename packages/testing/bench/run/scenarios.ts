import type { Burst, Deployment } from '../../src';
import type { DeploymentName } from './deployments';

/** Something that happens to a deployment during the load. */
interface Fault {
  readonly atS: number;
  readonly apply: (deployment: Deployment) => Promise<unknown> | unknown;
}

/** One scenario of the benchmark. */
export interface BenchScenario {
  readonly name: string;
  readonly deployment: DeploymentName;
  /** Load outside of bursts, as a share of the capacity. */
  readonly load: number;
  readonly durationS: number;
  readonly bursts?: readonly Burst[];
  readonly faults?: readonly Fault[];
  /** Whether the demand of the top class alone fits the capacity all the time. */
  readonly topClassFits: boolean;
}

const LAG_MS = 5000;

const ZONE = /^engine-(1|4)$/;

async function lagAll(deployment: Deployment): Promise<void> {
  const engines = [...deployment.processes.keys()].filter((name) => name.startsWith('engine-'));
  await Promise.all(engines.map((name) => deployment.switchEngine(name, { load_lag_ms: LAG_MS })));
}

/** Loses the engines of the first data centre with their sidecars, and its control replica. */
async function loseZone(deployment: Deployment): Promise<void> {
  const lost = [...deployment.processes.keys()].filter(
    (name) => ZONE.test(name.replace('sidecar-', '')) || name === 'control-1',
  );
  await Promise.all(lost.map((name) => deployment.process(name).kill()));
}

/** The scenarios; each lasts well under a minute. */
export const scenarios: readonly BenchScenario[] = [
  { name: 'steady', deployment: 'chimney-lane', load: 0.7, durationS: 12, topClassFits: true },
  { name: 'full', deployment: 'chimney-lane', load: 1, durationS: 12, topClassFits: true },
  { name: 'overload', deployment: 'chimney-lane', load: 3, durationS: 12, topClassFits: true },
  {
    name: 'morning-dispatch',
    deployment: 'chimney-lane',
    load: 0.5,
    durationS: 14,
    bursts: [{ fromS: 2, toS: 12, factor: 6 }],
    topClassFits: true,
  },
  {
    name: 'cold-snap',
    deployment: 'o-fearghail',
    load: 0.6,
    durationS: 14,
    bursts: [
      { fromS: 2, toS: 12, factor: 4.5, class: 'guidance' },
      { fromS: 2, toS: 12, factor: 0.5, class: 'inspection' },
      { fromS: 2, toS: 12, factor: 0.5, class: 'fault-history' },
    ],
    topClassFits: true,
  },
  {
    name: 'flood',
    deployment: 'chimney-lane',
    load: 0.6,
    durationS: 12,
    bursts: [{ fromS: 2, toS: 12, factor: 50, workspace: 'thimi-grease' }],
    topClassFits: true,
  },
  {
    name: 'slow-engine',
    deployment: 'o-fearghail',
    load: 0.6,
    durationS: 14,
    faults: [
      { atS: 4, apply: (deployment) => deployment.switchEngine('engine-1', { speed: 0.1 }) },
    ],
    topClassFits: true,
  },
  {
    name: 'engine-crash',
    deployment: 'o-fearghail',
    load: 0.6,
    durationS: 14,
    faults: [
      { atS: 5, apply: (deployment) => deployment.process('engine-1').kill() },
      { atS: 8, apply: (deployment) => deployment.process('engine-1').start() },
    ],
    topClassFits: true,
  },
  {
    name: 'late-reports',
    deployment: 'chimney-lane',
    load: 0.8,
    durationS: 12,
    faults: [{ atS: 0, apply: lagAll }],
    topClassFits: true,
  },
  {
    name: 'zone-lost',
    deployment: 'o-fearghail',
    load: 0.6,
    durationS: 14,
    faults: [{ atS: 5, apply: loseZone }],
    topClassFits: true,
  },
];
