import type { Journal, Metrics, Timer } from '@berylwood/base';
import type { Mesh, WorkAttachments } from '@berylwood/registry';
import type { z } from 'zod';
import type { EndpointDirectory } from './EndpointDirectory';
import { gatewayEvents } from './events';
import { FleetStreams, type StreamDecision, type StreamPool } from './FleetStreams';
import type { PoolName } from './ids';
import type { PoolStreams } from './PoolStreams';
import type { RoutingTable } from './RoutingTable';
import {
  MAX_POOLS,
  streamReportSchema,
  streamUpdateSchema,
  type PoolReport,
  type SplitMessage,
} from './streamEngineMessages';
import type { StreamEngines } from './StreamEngines';

/** Fraction of the observed durations of events that the estimate is not exceeded by. */
const EVENT_QUANTILE = 0.75;

/** As above for prefill; times above it often contain a wait, or a shared part that was not cached as expected. */
const PREFILL_QUANTILE = 0.25;

/** Minimum time between two lines about the number of stream engines of a pool, in milliseconds. */
const CHANGE_LOG_INTERVAL_MS = 1000;

/** Minimum time between two lines about invalid messages, in milliseconds. */
const INVALID_LOG_INTERVAL_MS = 10_000;

/** @internal */
export interface StreamEngineSharingOptions {
  readonly directory: EndpointDirectory;
  readonly mesh: Pick<Mesh, 'isLeader'>;
  readonly timer: Timer;
  readonly journal: Journal;
  readonly metrics: Metrics;
  readonly table: () => RoutingTable | undefined;
  readonly streams: StreamEngines;
}

interface LoggedChange {
  readonly engines: number;
  readonly at: number;
}

/**
 * Shares the demand of streams among all instances: each reports its own to the leader, and the leader decides
 * how many engines of each pool serve the streams with tight pauses. Without a leader, its last decision stays
 * in effect.
 * @internal
 */
export class StreamEngineSharing {
  /** What this part attaches to the work that is exchanged with the leader. */
  readonly attachments: WorkAttachments = {
    createReport: () => this.#createReport(),
    receiveReport: (instance, value) => this.#receiveReport(instance, value),
    createUpdate: () => this.#createUpdate(),
    receiveUpdate: (value) => this.#receiveUpdate(value),
  };

  readonly #options: StreamEngineSharingOptions;

  readonly #fleet = new FleetStreams();

  readonly #engineGauge;

  readonly #eventGauge;

  /** By pool, the last logged number of stream engines. */
  readonly #logged = new Map<PoolName, LoggedChange>();

  #invalidLoggedAt = -Infinity;

  constructor(options: StreamEngineSharingOptions) {
    this.#options = options;
    const { metrics } = options;
    const engineHelp = 'Engines of a pool that serve the streams with tight pauses; 0 if not split';
    this.#engineGauge = metrics.gauge('stream_engines', engineHelp, ['pool']);
    const eventHelp = 'Learnt duration of an event while its engine prefills continuously';
    this.#eventGauge = metrics.gauge('event_while_prefilling_seconds', eventHelp, ['pool']);
  }

  /** Starts a round of the exchange; on the leader, decides the splits of all pools. */
  startRound(): void {
    const { mesh, timer, streams, table: currentTable } = this.#options;
    const table = currentTable();
    if (!table) return;
    const isKnown = (name: PoolName): boolean => table.findPool(name)?.engine !== undefined;
    streams.retain(isKnown);
    if (mesh.isLeader) this.#decide(table, timer.now());
    else this.#fleet.clear();
    for (const [pool, { split }] of streams.pools) {
      this.#engineGauge.set({ pool }, split.engines);
      if (split.eventMs !== undefined) this.#eventGauge.set({ pool }, split.eventMs / 1000);
    }
  }

  #decide(table: RoutingTable, now: number): void {
    const { streams } = this.#options;
    const pools = this.#enginePools(table);
    this.#fleet.prune(new Set(pools.map(({ name }) => name)), now);
    for (const pool of pools) {
      const state = streams.poolOf(pool.name);
      const own = this.#reportOf(pool.name, state, now);
      const decision = this.#fleet.decide(pool, own, state.split, now);
      state.split = decision.split;
      this.#logChange(pool.name, decision, now);
    }
  }

  #enginePools({ configuration: { pools, routes } }: RoutingTable): StreamPool[] {
    return pools.slice(0, MAX_POOLS).flatMap(({ name, engine }) => {
      if (!engine) return [];
      const endpoints = this.#options.directory.endpointsOf(name);
      const engines = endpoints.filter(({ isInService }) => isInService).length;
      const streaming = routes.filter(
        ({ kind, targets }) => kind === 'stream' && targets.some(({ pool }) => pool === name),
      );
      const pausesMs = [...new Set(streaming.map(({ pauseMs }) => pauseMs))];
      return [{ name, engines, slots: engine.slots, pausesMs }];
    });
  }

  #createReport(): { streamEngines: PoolReport[] } | undefined {
    const { streams, timer } = this.#options;
    const now = timer.now();
    const reports = [...streams.pools]
      .slice(0, MAX_POOLS)
      .map(([name, pool]) => this.#reportOf(name, pool, now));
    return reports.length === 0 ? undefined : { streamEngines: reports };
  }

  #reportOf(name: PoolName, pool: PoolStreams, now: number): PoolReport {
    const { eventMs, prefillUs } = pool;
    const { tight, other } = pool.tokensPerS(now);
    return [
      name,
      pool.runningTight,
      Math.round(tight),
      Math.round(other),
      [eventMs.quantile(EVENT_QUANTILE, now) ?? null, eventMs.weight(now)],
      [prefillUs.quantile(PREFILL_QUANTILE, now) ?? null, prefillUs.weight(now)],
    ];
  }

  #receiveReport(instance: string, value: unknown): void {
    const report = this.#parse(streamReportSchema, instance, value);
    if (!report) return;
    this.#fleet.report(instance, report.streamEngines, this.#options.timer.now());
  }

  #createUpdate(): { streamEngines: SplitMessage[] } | undefined {
    const splits = [...this.#options.streams.pools]
      .slice(0, MAX_POOLS)
      .map(([name, { split }]): SplitMessage => {
        const { engines, pauseMs, eventMs, prefillMsPerToken } = split;
        return [name, engines, pauseMs, eventMs ?? null, prefillMsPerToken * 1000];
      });
    return splits.length === 0 ? undefined : { streamEngines: splits };
  }

  #receiveUpdate(value: unknown): void {
    const update = this.#parse(streamUpdateSchema, 'leader', value);
    if (!update) return;
    const table = this.#options.table();
    for (const [name, engines, pauseMs, eventMs, prefillUs] of update.streamEngines) {
      if (!table?.findPool(name)?.engine) continue;
      this.#options.streams.poolOf(name).split = {
        ...{ engines, pauseMs, prefillMsPerToken: prefillUs / 1000 },
        eventMs: eventMs ?? undefined,
      };
    }
  }

  #logChange(pool: PoolName, { split, demand }: StreamDecision, now: number): void {
    const { engines: streamEngines, pauseMs, eventMs } = split;
    const logged = this.#logged.get(pool) ?? { engines: 0, at: -Infinity };
    if (streamEngines === logged.engines || now - logged.at < CHANGE_LOG_INTERVAL_MS) return;
    this.#logged.set(pool, { engines: streamEngines, at: now });
    const fields = { pool, streamEngines, before: logged.engines, pauseMs, eventMs, ...demand };
    this.#options.journal.record(gatewayEvents.streamEnginesChanged, fields);
  }

  #parse<T>(schema: z.ZodType<T>, instance: string, value: unknown): T | undefined {
    const parsed = schema.safeParse(value);
    if (parsed.success) return parsed.data;
    const now = this.#options.timer.now();
    if (now - this.#invalidLoggedAt >= INVALID_LOG_INTERVAL_MS) {
      this.#invalidLoggedAt = now;
      const fields = { instance, reason: parsed.error.message };
      this.#options.journal.record(gatewayEvents.streamEnginesInvalid, fields);
    }
    return undefined;
  }
}
