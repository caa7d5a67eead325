import { contestants, type BenchRun, type Contestant } from './runScenario';
import { scenarios } from './scenarios';
import { deployments } from './deployments';

/** Mean of a figure over the seeds, with its range. */
export interface Spread {
  readonly mean: number;
  readonly least: number;
  readonly most: number;
}

/** One aim in one scenario. */
export interface Aim {
  readonly aim: string;
  readonly scenario: string;
  readonly figure: Spread;
  readonly limit: string;
  readonly isMet: boolean;
}

const TOP_ATTAINMENT = 0.99;
const WORST_WORKSPACE = 0.9;
const WASTE = 0.02;
const WASTE_WITH_FAULTS = 0.05;
const GOODPUT_AT_OVERLOAD = 0.95;

/** Mean and range of a figure. */
export function spread(values: readonly number[]): Spread {
  const mean = values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
  return { mean, least: Math.min(...values), most: Math.max(...values) };
}

/** Attainment of the top class in a run. */
export function topAttainment({ scenario, report }: BenchRun): number {
  const name = scenarios.find((bench) => bench.name === scenario)?.deployment ?? 'chimney-lane';
  const { topClass } = deployments[name];
  return report.classes.find((summary) => summary.name === topClass)?.attainment ?? 0;
}

/** Share of its fair work that the worst-served workspace got in a run. */
export function worstWorkspace({ report }: BenchRun): number {
  return report.workspaces[0]?.ofFairShare ?? 1;
}

function violationsOf(run: BenchRun, check: string): number {
  return run.violations.filter((violation) => violation.check === check).length;
}

function select(runs: readonly BenchRun[], scenario: string, contestant: Contestant): BenchRun[] {
  return runs.filter((run) => run.scenario === scenario && run.contestant === contestant);
}

function least(aim: string, scenario: string, values: readonly number[], limit: number): Aim {
  const figure = spread(values);
  return { aim, scenario, figure, limit: `>= ${limit}`, isMet: figure.least >= limit };
}

function most(aim: string, scenario: string, values: readonly number[], limit: number): Aim {
  const figure = spread(values);
  return { aim, scenario, figure, limit: `<= ${limit}`, isMet: figure.most <= limit };
}

function costAim(runs: readonly BenchRun[], scenario: string): Aim {
  const costs = contestants.map((contestant) =>
    spread(select(runs, scenario, contestant).map(({ report }) => report.costPerAttained)),
  );
  const [own, ...baselines] = costs as [Spread, ...Spread[]];
  const present = baselines.filter(({ mean }) => mean > 0);
  const limit = Math.min(...present.map(({ mean }) => mean));
  const isMet = present.length > 0 && own.mean <= limit;
  const text = present.length > 0 ? `<= ${limit.toPrecision(3)}` : 'no baseline';
  return { aim: 'cost per attained', scenario, figure: own, limit: text, isMet };
}

function goodputAim(runs: readonly BenchRun[]): Aim[] {
  const loads = ['steady', 'full', 'overload'].flatMap((name) => select(runs, name, 'fair'));
  const overload = select(runs, 'overload', 'fair');
  if (overload.length === 0 || loads.length === overload.length) return [];
  const seeds = overload.map(({ seed, goodput }) => {
    const best = loads.filter((run) => run.seed === seed).map((run) => run.goodput);
    return goodput / Math.max(...best);
  });
  return [least('goodput of the best at any load', 'overload', seeds, GOODPUT_AT_OVERLOAD)];
}

/** Judges the runs of the product's scheduler by the aims; every seed has to meet them. */
export function judge(runs: readonly BenchRun[]): Aim[] {
  const aims = scenarios.flatMap(({ name, faults, topClassFits }) => {
    const own = select(runs, name, 'fair');
    if (own.length === 0) return [];
    const waste = faults ? WASTE_WITH_FAULTS : WASTE;
    const count = (check: string) => own.map((run) => violationsOf(run, check));
    const top = least('top class attains', name, own.map(topAttainment), TOP_ATTAINMENT);
    return [
      ...(topClassFits ? [top] : []),
      least('worst workspace of fair share', name, own.map(worstWorkspace), WORST_WORKSPACE),
      most(
        'wasted work',
        name,
        own.map(({ report }) => report.wastedShare),
        waste,
      ),
      costAim(runs, name),
      most('waits beyond the maximum', name, count('waits'), 0),
      most('shed over lower work', name, count('tiers'), 0),
      most('answers not whole or not own', name, count('answers'), 0),
      most('"not run" but run', name, count('notRun'), 0),
      most('keys seen by endpoints', name, count('keys'), 0),
    ];
  });
  return [...aims, ...goodputAim(runs)];
}
