import type { Metrics, Timer } from '@berylwood/base';
import {
  MIN_ENGINES_TO_SPLIT,
  URGENCY_LEVELS,
  rankByHash,
  selectStreamEngines,
  type PromptCost,
} from '@berylwood/policy';
import type { Attempt } from './Attempt';
import type { Endpoint } from './Endpoint';
import type { EndpointDirectory } from './EndpointDirectory';
import type { PoolName } from './ids';
import { PoolStreams } from './PoolStreams';
import type { ResolvedRequest } from './resolveRequest';
import { StreamRun } from './StreamRun';

/** @internal */
export interface StreamEnginesOptions {
  readonly directory: EndpointDirectory;
  readonly timer: Timer;
  readonly metrics: Metrics;
}

/** The parts of a request that decide which engines it may use. */
type StreamRequest = Pick<ResolvedRequest, 'route' | 'table' | 'target' | 'rank'>;

/**
 * Keeps the streams with tight pauses and the prompts that would delay their events on different engines, where
 * the leader has split a pool. See docs/design/stream-engines.md.
 * @internal
 */
export class StreamEngines {
  readonly #options: StreamEnginesOptions;

  readonly #pools = new Map<PoolName, PoolStreams>();

  /** By the endpoints of a pool, the same in the order in which they become stream engines. */
  readonly #orders = new WeakMap<readonly Endpoint[], readonly Endpoint[]>();

  readonly #placements;

  constructor(options: StreamEnginesOptions) {
    this.#options = options;
    const help = 'Requests placed on pools that are split into stream engines and others, by kind';
    this.#placements = options.metrics.counter('stream_placements_total', help, ['kind']);
  }

  /** Pools of which this instance has observed streams or received a decision. */
  get pools(): ReadonlyMap<PoolName, PoolStreams> {
    return this.#pools;
  }

  poolOf(name: PoolName): PoolStreams {
    const pool = this.#pools.get(name) ?? new PoolStreams();
    this.#pools.set(name, pool);
    return pool;
  }

  /** Forgets the pools that the configuration does not have. */
  retain(isKnown: (name: PoolName) => boolean): void {
    for (const name of this.#pools.keys()) if (!isKnown(name)) this.#pools.delete(name);
  }

  /** Selects the candidates that a request may use; all of them if its pool is not split. */
  candidatesFor(
    { route, table, target }: Omit<StreamRequest, 'rank'>,
    candidates: readonly Endpoint[],
    prompt: Pick<PromptCost, 'ownTokens' | 'sharedTokens'>,
  ): readonly Endpoint[] {
    const pool = this.#pools.get(target);
    const { slots } = table.findPool(target)?.engine ?? {};
    if (!pool || pool.split.engines === 0 || slots === undefined || candidates.length === 0)
      return candidates;
    const streamEngines = this.#streamEnginesOf(target, pool.split.engines);
    if (streamEngines.size === 0) return candidates;
    // Tokens of every rank count: whatever is prefilled delays the streams.
    const instances = this.#options.directory.instances();
    const viewOptions = { dataCentre: '', instances, rank: URGENCY_LEVELS - 1, slots };
    const { kind, views } = selectStreamEngines(
      candidates.map((endpoint) => endpoint.engineView(viewOptions)),
      ({ endpoint }) => streamEngines.has(endpoint),
      {
        isTight: route.kind === 'stream' && pool.isTight(route.pauseMs),
        promptTokens: prompt.ownTokens + prompt.sharedTokens,
        pauseMs: pool.split.pauseMs,
        prefillMsPerToken: pool.split.prefillMsPerToken,
      },
    );
    this.#placements.inc({ kind });
    return views.map(({ endpoint }) => endpoint);
  }

  /** Starts to observe an attempt that was just sent; undefined for plain services. */
  follow(
    { route, table, target, rank }: StreamRequest,
    { endpoint, promptTokens: tokens }: Pick<Attempt, 'endpoint' | 'promptTokens'>,
  ): StreamRun | undefined {
    const { slots } = table.findPool(target)?.engine ?? {};
    if (slots === undefined) return undefined;
    const { directory, timer } = this.#options;
    const instances = directory.instances();
    const view = endpoint.engineView({ dataCentre: '', instances, rank, slots });
    const tokensBefore =
      view.running <= slots ? Math.max(0, view.queuedTokens - tokens) : undefined;
    const pauseMs = route.kind === 'stream' ? route.pauseMs : 0;
    return new StreamRun({
      ...{ timer, pool: this.poolOf(target), endpoint, pauseMs, tokens, tokensBefore },
    });
  }

  /** The first engines in service in an order that all instances agree on without a message. */
  #streamEnginesOf(target: PoolName, count: number): ReadonlySet<Endpoint> {
    const endpoints = this.#options.directory.endpointsOf(target);
    const order = this.#orders.get(endpoints) ?? this.#rank(target, endpoints);
    this.#orders.set(endpoints, order);
    const inService = order.filter(({ isInService }) => isInService);
    const isSplit = inService.length >= MIN_ENGINES_TO_SPLIT;
    return new Set(isSplit ? inService.slice(0, Math.min(count, inService.length - 1)) : []);
  }

  #rank(target: PoolName, endpoints: readonly Endpoint[]): readonly Endpoint[] {
    const views = endpoints.map((endpoint) => ({ key: endpoint.listed.id, endpoint }));
    return rankByHash(views, `stream-engines ${target}`, views.length).map(
      ({ endpoint }) => endpoint,
    );
  }
}
