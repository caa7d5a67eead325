import { SystemTimer } from '@berylwood/base';
import { loadConfiguration } from '@berylwood/schema';
import {
  Deployment,
  LoadRun,
  checkAnswers,
  checkKeys,
  checkNotRun,
  checkTiers,
  checkWaits,
  listRuns,
  loadScenarioSchema,
  summarize,
  type Key,
  type LoadRecords,
  type LoadReport,
  type LoadScenario,
  type Violation,
} from '../../src';
import { ENDPOINT_PRICE, deployments } from './deployments';
import type { BenchScenario } from './scenarios';

/** Contestants: the product's scheduler and the baselines. */
export const contestants = ['fair', 'round-robin', 'least-load'] as const;

export type Contestant = (typeof contestants)[number];

/** What one run has shown. */
export interface BenchRun {
  readonly scenario: string;
  readonly contestant: Contestant;
  readonly seed: number;
  readonly report: LoadReport;
  /** Answer tokens a second of attained requests that ended in the middle of the load. */
  readonly goodput: number;
  readonly violations: readonly Violation[];
}

const MS_PER_S = 1000;

/** Time before the middle of the load, in which queues fill. */
const WARM_UP_S = 4;

/** Time for links and first reports after the start, in milliseconds. */
const SETTLE_MS = 1000;

/** Time that the entries may need to see each other's work. */
const TIER_SETTLE_MS = 500;

const GIVE_UP_S = 30;

async function giveKeys(deployment: Deployment, names: readonly string[]) {
  const given = names.map(async (name) => [name, await deployment.giveKey(name)] as const);
  return new Map<string, Key>(await Promise.all(given));
}

function createScenario(bench: BenchScenario, seed: number, deployment: Deployment): LoadScenario {
  const { plan, workspaces, classes, capacity } = deployments[bench.deployment];
  const entries = Array.from({ length: plan.entries }, (_, index) =>
    deployment.entryUrl(index + 1).replace('http://', ''),
  );
  const engines = plan.endpoints.filter(({ kind }) => kind === 'engine');
  return loadScenarioSchema.parse({
    load: {
      name: bench.name,
      seed,
      durationS: bench.durationS,
      requestsPerSecond: capacity * bench.load,
      entries,
      plans: `${deployment.folder}/plans.toml`,
      customers: `${deployment.folder}/customers.toml`,
      keys: 'given',
      giveUpS: GIVE_UP_S,
    },
    workspaces,
    classes,
    bursts: bench.bursts ?? [],
    endpoints: engines.map(({ name }) => ({
      address: deployment.endpointAddress(name),
      pricePerHour: ENDPOINT_PRICE,
    })),
  });
}

function checkRecords(
  { outcomes, configuration }: LoadRecords,
  deployment: Deployment,
  keys: ReadonlyMap<string, Key>,
): Violation[] {
  const { histories } = deployment;
  const runs = listRuns(histories);
  const maxima = Object.entries(configuration.classes).map(
    ([name, { maxWaitMs }]) => [name, maxWaitMs] as const,
  );
  const secrets = [...keys.values()].map(({ secret }) => secret);
  return [
    ...checkAnswers(outcomes),
    ...checkNotRun(outcomes, runs),
    ...checkKeys(histories, secrets),
    ...checkTiers(outcomes, TIER_SETTLE_MS),
    ...checkWaits(outcomes, runs, new Map(maxima)),
  ];
}

/** Answer tokens a second of whole answers within their targets that ended in the middle. */
function goodputOf({ outcomes, scenario, startedAt, configuration }: LoadRecords): number {
  const from = startedAt + WARM_UP_S * MS_PER_S;
  const to = startedAt + scenario.load.durationS * MS_PER_S;
  const middle = outcomes.filter(({ endedAt }) => endedAt >= from && endedAt < to);
  const records = {
    scenario,
    configuration,
    samples: [],
    generatedTokens: 0,
    startedAt,
    lateMs: 0,
  };
  const { goodTokensPerSecond } = summarize({ ...records, outcomes: middle });
  return (goodTokensPerSecond * scenario.load.durationS * MS_PER_S) / (to - from);
}

/** Runs a scenario once on a fresh deployment. */
export async function runScenario(
  bench: BenchScenario,
  contestant: Contestant,
  seed: number,
): Promise<BenchRun> {
  const { plan, workspaces } = deployments[bench.deployment];
  const extra = { entry: `scheduler = "${contestant}"\n` };
  const deployment = new Deployment({ ...plan, extra });
  const timer = new SystemTimer();
  try {
    await deployment.start();
    const keys = await giveKeys(
      deployment,
      workspaces.map(({ name }) => name),
    );
    await timer.sleep(SETTLE_MS);
    const scenario = createScenario(bench, seed, deployment);
    const { plans, customers } = scenario.load;
    const configuration = loadConfiguration(plans, customers)._unsafeUnwrap();
    const faults = (bench.faults ?? []).map(({ atS, apply }) =>
      timer.sleep(atS * MS_PER_S).then(() => apply(deployment)),
    );
    const records = await new LoadRun({ timer, scenario, configuration, keys }).run();
    await Promise.all(faults);
    const report = summarize(records);
    const violations = checkRecords(records, deployment, keys);
    const goodput = goodputOf(records);
    return { scenario: bench.name, contestant, seed, report, goodput, violations };
  } finally {
    await deployment.close();
  }
}
