import {
  StreamEngineCount,
  combineEstimates,
  countStreamEngines,
  tightPauseMs,
  type StreamDemand,
  type WeightedEstimate,
} from '@berylwood/policy';
import type { PoolName } from './ids';
import type { StreamSplit } from './PoolStreams';
import type { PoolReport } from './streamEngineMessages';

/** Time for which a report is used, in milliseconds. */
const VALID_MS = 1000;

/** Observations of all instances before which an estimate does not replace the last one. */
const MIN_WEIGHT = 20;

/** Properties of a pool for which its split is decided. @internal */
export interface StreamPool {
  readonly name: PoolName;
  /** Engines in service. */
  readonly engines: number;
  readonly slots: number;
  /** Pauses that the routes of the pool allow. */
  readonly pausesMs: readonly number[];
}

/** A split with the demand that it is based on. @internal */
export interface StreamDecision {
  readonly split: StreamSplit;
  readonly demand: StreamDemand;
}

interface ReportingInstance {
  readonly reports: readonly PoolReport[];
  readonly at: number;
}

function estimatesOf(
  reports: readonly PoolReport[],
  estimateOf: (report: PoolReport) => PoolReport[4],
): WeightedEstimate[] {
  return reports.flatMap((report) => {
    const [value, weight] = estimateOf(report);
    return value === null ? [] : [{ value, weight }];
  });
}

/** The demand of all instances, and the splits of the pools that follow from it, on the leader. @internal */
export class FleetStreams {
  readonly #instances = new Map<string, ReportingInstance>();

  readonly #counts = new Map<PoolName, StreamEngineCount>();

  /** Records the report of an instance. */
  report(instance: string, reports: readonly PoolReport[], now: number): void {
    this.#instances.set(instance, { reports, at: now });
  }

  /** Forgets reports that are no longer valid, and pools that are not in the configuration. */
  prune(pools: ReadonlySet<PoolName>, now: number): void {
    for (const [instance, { at }] of this.#instances) {
      if (now - at >= VALID_MS) this.#instances.delete(instance);
    }
    for (const name of this.#counts.keys()) if (!pools.has(name)) this.#counts.delete(name);
  }

  /** Decides the split of a pool. What was learnt before stays in effect without enough observations. */
  decide(pool: StreamPool, own: PoolReport, before: StreamSplit, now: number): StreamDecision {
    const reports = [own, ...this.#reportsOf(pool.name)];
    const eventMs =
      combineEstimates(
        estimatesOf(reports, ([, , , , estimate]) => estimate),
        MIN_WEIGHT,
      ) ?? before.eventMs;
    const prefillUs = combineEstimates(
      estimatesOf(reports, ([, , , , , estimate]) => estimate),
      MIN_WEIGHT,
    );
    const prefillMsPerToken = prefillUs === undefined ? before.prefillMsPerToken : prefillUs / 1000;
    const { engines, slots, pausesMs } = pool;
    const pauseMs = eventMs === undefined ? 0 : tightPauseMs(pausesMs, eventMs, before.pauseMs);
    const sum = (valueOf: (report: PoolReport) => number): number =>
      reports.reduce((total, report) => total + valueOf(report), 0);
    const demand = {
      ...{ engines, slots, prefillMsPerToken },
      runningTight: sum(([, running]) => running),
      tightTokensPerS: sum(([, , tight]) => tight),
      otherTokensPerS: sum(([, , , other]) => other),
    };
    const count = this.#updateCount(pool, pauseMs === 0 ? undefined : demand, before, now);
    return { split: { engines: count, pauseMs, eventMs, prefillMsPerToken }, demand };
  }

  /** Forgets all instances, as this one no longer leads. */
  clear(): void {
    this.#instances.clear();
    this.#counts.clear();
  }

  #reportsOf(name: PoolName): PoolReport[] {
    return [...this.#instances.values()].flatMap(({ reports }) =>
      reports.filter(([pool]) => pool === name),
    );
  }

  /** A new leader goes on from the number that was last in effect. */
  #updateCount(
    { name, engines }: StreamPool,
    demand: StreamDemand | undefined,
    before: StreamSplit,
    now: number,
  ): number {
    if (!demand) {
      this.#counts.delete(name);
      return 0;
    }
    const count = this.#counts.get(name) ?? new StreamEngineCount(before.engines);
    this.#counts.set(name, count);
    return count.update(countStreamEngines(demand), engines, now);
  }
}
