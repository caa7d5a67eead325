import { createHash } from 'node:crypto';
import { Random } from '@berylwood/base';
import type { Burst, ClassLoad, LoadScenario } from './LoadScenario';

/** One request of a load, before it is sent. @public */
export interface Arrival {
  readonly number: number;
  /** Time since the start of the load, in milliseconds. */
  readonly atMs: number;
  readonly workspace: string;
  readonly class: string;
  /** Which of the workspace's shared prefixes the prompt begins with. */
  readonly prefix: number;
  readonly answerTokens: number;
}

const MS_PER_S = 1000;

interface Source {
  readonly workspace: string;
  readonly class: string;
  readonly load: ClassLoad;
  /** Requests a second outside of bursts. */
  readonly rate: number;
  readonly bursts: readonly Burst[];
}

function listSources({ load, workspaces, classes, bursts }: LoadScenario): Source[] {
  const workspaceTotal = workspaces.reduce((sum, { weight }) => sum + weight, 0);
  const classTotal = Object.values(classes).reduce((sum, { weight }) => sum + weight, 0);
  return workspaces.flatMap((workspace) =>
    Object.entries(classes).map(([name, classLoad]) => ({
      workspace: workspace.name,
      class: name,
      load: classLoad,
      rate:
        (load.requestsPerSecond * workspace.weight * classLoad.weight) /
        (workspaceTotal * classTotal),
      bursts: bursts.filter(
        (burst) =>
          (burst.class === undefined || burst.class === name) &&
          (burst.workspace === undefined || burst.workspace === workspace.name),
      ),
    })),
  );
}

/** Factor of the bursts at a time; overlapping bursts multiply. */
function burstFactor(bursts: readonly Burst[], atS: number): number {
  return bursts
    .filter(({ fromS, toS }) => fromS <= atS && atS < toS)
    .reduce((factor, burst) => factor * burst.factor, 1);
}

function drawAnswerTokens(random: Random, load: ClassLoad): number {
  const length = load.answerTokens * Math.exp(load.answerSigma * random.normal());
  return Math.max(1, Math.min(load.maxAnswerTokens, Math.round(length)));
}

/** A generator of its own for each source; a digest, as sequences of near seeds begin alike. */
function createRandom(seed: number, source: Source): Random {
  const name = `${seed} ${source.workspace} ${source.class}`;
  return new Random(createHash('sha256').update(name).digest().readInt32LE());
}

/** Poisson arrivals of one source, by thinning those of its highest rate. */
function drawArrivals(source: Source, durationS: number, random: Random): Arrival[] {
  const edges = source.bursts.flatMap(({ fromS, toS }) => [fromS, toS]);
  const highest = Math.max(1, ...edges.map((edge) => burstFactor(source.bursts, edge)));
  const meanS = 1 / (source.rate * highest);
  const arrivals: Arrival[] = [];
  for (let atS = random.exponential(meanS); atS < durationS; atS += random.exponential(meanS)) {
    const isKept = random.next() < burstFactor(source.bursts, atS) / highest;
    const prefix = random.below(source.load.prefixes);
    const answerTokens = drawAnswerTokens(random, source.load);
    const { workspace, class: name } = source;
    const arrival = { number: 0, atMs: atS * MS_PER_S, workspace, class: name };
    if (isKept) arrivals.push({ ...arrival, prefix, answerTokens });
  }
  return arrivals;
}

/** All requests of a scenario in order of time; the same seed gives the same. @public */
export function createArrivals(scenario: LoadScenario): Arrival[] {
  const { seed, durationS } = scenario.load;
  return listSources(scenario)
    .flatMap((source) => drawArrivals(source, durationS, createRandom(seed, source)))
    .sort((a, b) => a.atMs - b.atMs)
    .map((arrival, number) => ({ ...arrival, number }));
}
