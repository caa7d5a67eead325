import type { EndpointSample } from './EndpointProbe';

/** Percentiles of a latency, in milliseconds. @public */
export interface Latency {
  readonly p50: number;
  readonly p95: number;
  readonly p99: number;
}

/** How one class fared. @public */
export interface ClassSummary {
  readonly name: string;
  /** Highest tier that any plan gives the class. */
  readonly tier: number;
  readonly sent: number;
  readonly answered: number;
  /** Answered whole, within the targets of the class. */
  readonly attained: number;
  /** Attained of those sent, from 0 to 1. */
  readonly attainment: number;
  /** Refused as not run. */
  readonly refused: number;
  /** Neither answered whole nor refused as not run. */
  readonly failed: number;
  readonly firstTokenMs: Latency;
  /** Of the mean time between the tokens of each request. */
  readonly betweenTokensMs: Latency;
}

/** How one workspace fared; work is counted in tokens of prompt and answer. @public */
export interface WorkspaceSummary {
  readonly name: string;
  readonly demandedWork: number;
  readonly servedWork: number;
  /** Max-min fair part of what was served in each tier and pool, by the shares of the plans. */
  readonly fairWork: number;
  readonly ofFairShare: number;
  readonly attainment: number;
}

/** Requests that were sent in one second of the load. @public */
export interface Second {
  readonly second: number;
  readonly sent: number;
  /** Answer tokens of the attained ones. */
  readonly goodTokens: number;
  /** Attainment by class. */
  readonly attainment: Readonly<Record<string, number>>;
}

/** Report of a load. @public */
export interface LoadReport {
  readonly name: string;
  readonly seed: number;
  readonly durationS: number;
  readonly sent: number;
  readonly attained: number;
  /** By tier, the highest first. */
  readonly classes: readonly ClassSummary[];
  /** Requests by the stated error that ended them. */
  readonly errors: Readonly<Record<string, number>>;
  /** Answer tokens of attained requests, a second of the load. */
  readonly goodTokensPerSecond: number;
  readonly generatedTokens: number;
  /** Generated tokens that were not part of a whole answer, from 0 to 1. */
  readonly wastedShare: number;
  /** Mean share of the slots that generated while the load lasted, from 0 to 1. */
  readonly utilisation: number;
  /** The worst served first. */
  readonly workspaces: readonly WorkspaceSummary[];
  readonly seconds: readonly Second[];
  readonly endpoints: readonly EndpointSample[];
  /** Units of money. */
  readonly cost: number;
  readonly costPerAttained: number;
  /** Largest delay of the generator itself, in milliseconds; a large one makes the run void. */
  readonly generatorLateMs: number;
}
