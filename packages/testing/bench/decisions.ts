/**
 * Measures the decisions with real processes and stand-in engines, against the baselines over the
 * same arrivals. Prints a row for each run's figures, then the aims, then all figures as JSON.
 * Options: --scenarios a,b  --contestants a,b  --seeds 1,2
 */
import { parseArgs } from 'node:util';
import { formatTable } from '../src';
import { judge, spread, topAttainment, worstWorkspace, type Aim, type Spread } from './run/aims';
import { contestants, runScenario, type BenchRun } from './run/runScenario';
import { scenarios } from './run/scenarios';

const { values: options } = parseArgs({
  options: {
    scenarios: { type: 'string' },
    contestants: { type: 'string' },
    seeds: { type: 'string', default: '1,2' },
  },
});

function chosen<T extends string>(all: readonly T[], names: string | undefined): T[] {
  return all.filter((name) => names === undefined || names.split(',').includes(name));
}

function formatSpread({ mean, least, most }: Spread, digits: number): string {
  return `${mean.toFixed(digits)} [${least.toFixed(digits)}–${most.toFixed(digits)}]`;
}

function formatRuns(runs: readonly BenchRun[]): string {
  const head = [
    'scenario',
    'contestant',
    'top class',
    'all',
    'worst ws',
    'goodput',
    'in use',
    'wasted',
  ];
  const rows = scenarios.flatMap(({ name }) =>
    contestants.flatMap((contestant) => {
      const own = runs.filter((run) => run.scenario === name && run.contestant === contestant);
      if (own.length === 0) return [];
      const figures = (read: (run: BenchRun) => number, digits: number) =>
        formatSpread(spread(own.map(read)), digits);
      return [
        [
          name,
          contestant,
          figures(topAttainment, 3),
          figures(({ report }) => report.attained / report.sent, 3),
          figures(worstWorkspace, 2),
          figures(({ goodput }) => goodput, 0),
          figures(({ report }) => report.utilisation, 2),
          figures(({ report }) => report.wastedShare, 3),
        ],
      ];
    }),
  );
  return formatTable([head, ...rows]);
}

function formatAims(aims: readonly Aim[]): string {
  const rows = aims.map(({ scenario, aim, figure, limit, isMet }) => [
    scenario,
    aim,
    formatSpread(figure, 4),
    limit,
    isMet ? 'pass' : 'MISS',
  ]);
  return formatTable([['scenario', 'aim', 'figure', 'limit', ''], ...rows]);
}

/** Delay of the load generator beyond which a run measures the machine and not the decisions. */
const VOID_LATE_MS = 100;

const runs: BenchRun[] = [];
for (const bench of scenarios) {
  if (!chosen([bench.name], options.scenarios).length) continue;
  for (const seed of options.seeds.split(',').map(Number)) {
    for (const contestant of chosen(contestants, options.contestants)) {
      const run = await runScenario(bench, contestant, seed);
      runs.push(run);
      const { report, violations } = run;
      process.stderr.write(
        `${bench.name} ${contestant} seed ${seed}: ${report.attained} of ${report.sent} attained, ` +
          `${violations.length} violations, generator ${Math.round(report.generatorLateMs)} ms late, errors ${JSON.stringify(report.errors)}\n`,
      );
    }
  }
}
const valid = runs.filter(({ report }) => report.generatorLateMs <= VOID_LATE_MS);
const aims = judge(valid);
process.stdout.write(`${formatRuns(runs)}\n\n${formatAims(aims)}\n\n`);
const voidRuns = runs.filter((run) => !valid.includes(run));
for (const { scenario, contestant, seed, report } of voidRuns) {
  const late = Math.round(report.generatorLateMs);
  process.stdout.write(
    `void: ${scenario} ${contestant} seed ${seed}: the machine was busy, generator ${late} ms late\n`,
  );
}
const figures = runs.map(({ report, violations, ...run }) => ({
  ...run,
  classes: report.classes,
  workspaces: report.workspaces,
  errors: report.errors,
  utilisation: report.utilisation,
  wastedShare: report.wastedShare,
  costPerAttained: report.costPerAttained,
  generatorLateMs: report.generatorLateMs,
  violations: violations.slice(0, 20),
}));
process.stdout.write(`${JSON.stringify({ aims, runs: figures })}\n`);
