import type { Configuration } from '@berylwood/schema';
import { percentile } from '../percentile';
import { fairShares } from './fairShares';
import type { LoadRecords } from './LoadRun';
import type { Outcome } from './Outcome';
import type { ClassSummary, LoadReport, Second, WorkspaceSummary } from './LoadReport';

const MS_PER_S = 1000;
const S_PER_HOUR = 3600;

/** Work tokens below which a demand says nothing about fairness. */
const LEAST_DEMAND = 1;

function groupBy(outcomes: readonly Outcome[], key: (outcome: Outcome) => string) {
  const groups = new Map<string, Outcome[]>();
  for (const outcome of outcomes) {
    const name = key(outcome);
    const group = groups.get(name);
    if (group) group.push(outcome);
    else groups.set(name, [outcome]);
  }
  return groups;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

/** Whether the caller got the whole answer. @public */
export function isAnswered({ status, isWhole, error }: Outcome): boolean {
  return status === 200 && isWhole && error === undefined;
}

/** Whether a request was answered whole within the targets of its class. @public */
export function isAttained(outcome: Outcome, configuration: Configuration): boolean {
  const targets = configuration.classes[outcome.class];
  if (!targets || !isAnswered(outcome)) return false;
  const { firstTokenMs, betweenTokensMs } = outcome;
  return firstTokenMs <= targets.firstTokenMs && betweenTokensMs <= targets.betweenTokensMs;
}

function summarizeClass(
  name: string,
  outcomes: readonly Outcome[],
  configuration: Configuration,
): ClassSummary {
  const answered = outcomes.filter(isAnswered);
  const attained = outcomes.filter((outcome) => isAttained(outcome, configuration)).length;
  const refused = outcomes.filter(({ notRun }) => notRun === true).length;
  const first = answered.map(({ firstTokenMs }) => firstTokenMs);
  const between = answered.map(({ betweenTokensMs }) => betweenTokensMs);
  return {
    name,
    tier: Math.min(...outcomes.map(({ tier }) => tier)),
    sent: outcomes.length,
    answered: answered.length,
    attained,
    attainment: attained / outcomes.length,
    refused,
    failed: outcomes.length - answered.length - refused,
    firstTokenMs: {
      p50: percentile(first, 0.5),
      p95: percentile(first, 0.95),
      p99: percentile(first, 0.99),
    },
    betweenTokensMs: {
      p50: percentile(between, 0.5),
      p95: percentile(between, 0.95),
      p99: percentile(between, 0.99),
    },
  };
}

/** Fair work of each workspace: in each tier the work that was served, shared out by weight. */
function fairWork(outcomes: readonly Outcome[], configuration: Configuration): Map<string, number> {
  const { customers, plans } = configuration;
  const totals = new Map<string, number>();
  for (const group of groupBy(outcomes, ({ tier, pool }) => `${tier} ${pool}`).values()) {
    const demands = [...groupBy(group, ({ workspace }) => workspace)].map(([name, own]) => ({
      name,
      demand: sum(own.map(({ work }) => work)),
      share: plans[customers[name]?.plan ?? '']?.share ?? 1,
    }));
    const served = sum(group.filter(isAnswered).map(({ work }) => work));
    for (const [name, part] of fairShares(demands, served)) {
      totals.set(name, (totals.get(name) ?? 0) + part);
    }
  }
  return totals;
}

function summarizeWorkspaces({ outcomes, configuration }: LoadRecords): WorkspaceSummary[] {
  const fair = fairWork(outcomes, configuration);
  const summaries = [...groupBy(outcomes, ({ workspace }) => workspace)].map(([name, own]) => {
    const servedWork = sum(own.filter(isAnswered).map(({ work }) => work));
    const fairPart = fair.get(name) ?? 0;
    const attained = own.filter((outcome) => isAttained(outcome, configuration)).length;
    return {
      name,
      demandedWork: sum(own.map(({ work }) => work)),
      servedWork,
      fairWork: fairPart,
      ofFairShare: fairPart < LEAST_DEMAND ? 1 : servedWork / fairPart,
      attainment: attained / own.length,
    };
  });
  return summaries.sort((a, b) => a.ofFairShare - b.ofFairShare);
}

function summarizeSeconds({ outcomes, configuration, scenario }: LoadRecords): Second[] {
  const seconds = Math.ceil(scenario.load.durationS);
  const bySecond = groupBy(outcomes, ({ arrival }) => String(Math.floor(arrival.atMs / MS_PER_S)));
  return Array.from({ length: seconds }, (_, second) => {
    const own = bySecond.get(String(second)) ?? [];
    const classes = [...groupBy(own, (outcome) => outcome.class)].map(([name, group]) => {
      const attained = group.filter((outcome) => isAttained(outcome, configuration)).length;
      return [name, attained / group.length] as const;
    });
    const attained = own.filter((outcome) => isAttained(outcome, configuration));
    const goodTokens = sum(attained.map(({ tokens }) => tokens));
    return { second, sent: own.length, goodTokens, attainment: Object.fromEntries(classes) };
  });
}

/** Cost of the running endpoints over the load, in units of money. */
function costOf({ samples }: LoadRecords): number {
  const costs = samples.slice(1).map((sample, index) => {
    const hours = (sample.atMs - (samples[index]?.atMs ?? 0)) / MS_PER_S / S_PER_HOUR;
    return hours * (samples[index]?.pricePerHour ?? 0);
  });
  return sum(costs);
}

function countErrors(outcomes: readonly Outcome[]): Record<string, number> {
  const groups = groupBy(outcomes, ({ error }) => error ?? '');
  groups.delete('');
  return Object.fromEntries([...groups].map(([error, group]) => [error, group.length]));
}

/** Mean share of the slots that generated while requests arrived. */
function utilisationOf({ samples, scenario }: LoadRecords): number {
  const during = samples.filter(({ atMs }) => atMs <= scenario.load.durationS * MS_PER_S);
  const slots = sum(during.map((sample) => sample.slots));
  return slots > 0 ? sum(during.map(({ busy }) => busy)) / slots : 0;
}

/** Works out the report of a load from its records. @public */
export function summarize(records: LoadRecords): LoadReport {
  const { outcomes, configuration, scenario, generatedTokens, samples, lateMs } = records;
  const attained = outcomes.filter((outcome) => isAttained(outcome, configuration));
  const answeredTokens = sum(outcomes.filter(isAnswered).map(({ tokens }) => tokens));
  const goodTokens = sum(attained.map(({ tokens }) => tokens));
  const cost = costOf(records);
  const classes = [...groupBy(outcomes, (outcome) => outcome.class)].map(([name, own]) =>
    summarizeClass(name, own, configuration),
  );
  const wasted = Math.max(0, generatedTokens - answeredTokens);
  return {
    name: scenario.load.name,
    seed: scenario.load.seed,
    durationS: scenario.load.durationS,
    sent: outcomes.length,
    attained: attained.length,
    classes: classes.sort((a, b) => a.tier - b.tier || a.name.localeCompare(b.name)),
    errors: countErrors(outcomes),
    goodTokensPerSecond: goodTokens / scenario.load.durationS,
    generatedTokens,
    wastedShare: generatedTokens > 0 ? wasted / generatedTokens : 0,
    utilisation: utilisationOf(records),
    workspaces: summarizeWorkspaces(records),
    seconds: summarizeSeconds(records),
    endpoints: samples,
    cost,
    costPerAttained: attained.length > 0 ? cost / attained.length : 0,
    generatorLateMs: lateMs,
  };
}
