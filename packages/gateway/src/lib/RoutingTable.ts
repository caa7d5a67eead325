import { UrgencyScale, type RankPair } from '@berylwood/policy';
import type { PoolName } from './ids';
import type { Pool, Route, RoutingConfiguration, Target, Workspace } from './RoutingConfiguration';

function rankPairOf(route: Route, workspace: Workspace | undefined): RankPair {
  return { rank: workspace?.rank ?? route.rank, routeRank: route.rank };
}

/** Rank pairs of all combinations of routes and workspaces that the configuration allows. */
function rankPairs({ routes, workspaces }: RoutingConfiguration): RankPair[] {
  return routes.flatMap((route) => {
    const pairs = (workspaces ?? []).map((workspace) => rankPairOf(route, workspace));
    const needsNoKey = workspaces === undefined || route.isAnonymous;
    return needsNoKey ? [...pairs, rankPairOf(route, undefined)] : pairs;
  });
}

/** Index of a routing configuration for lookups per request. @public */
export class RoutingTable {
  readonly configuration: RoutingConfiguration;

  readonly #routes = new Map<string, Route[]>();

  readonly #workspaces = new Map<string, Workspace>();

  readonly #pools = new Map<PoolName, Pool>();

  /** By pool, the rank of its least urgent route. */
  readonly #maxRanks = new Map<PoolName, number>();

  readonly #urgency: UrgencyScale;

  constructor(configuration: RoutingConfiguration) {
    this.configuration = configuration;
    this.#urgency = new UrgencyScale(rankPairs(configuration));
    for (const route of configuration.routes) {
      const routes = this.#routes.get(route.host) ?? [];
      routes.push(route);
      this.#routes.set(route.host, routes);
      for (const { pool } of route.targets) {
        this.#maxRanks.set(pool, Math.max(route.rank, this.#maxRanks.get(pool) ?? 0));
      }
    }
    for (const routes of this.#routes.values()) {
      routes.sort((a, b) => b.prefix.length - a.prefix.length);
    }
    for (const workspace of configuration.workspaces ?? []) {
      for (const key of workspace.keys) this.#workspaces.set(key, workspace);
    }
    for (const pool of configuration.pools) this.#pools.set(pool.name, pool);
  }

  get version(): number {
    return this.configuration.version;
  }

  get requiresKey(): boolean {
    return this.configuration.workspaces !== undefined;
  }

  /** Finds the route with the longest prefix of the path. */
  findRoute(host: string, path: string): Route | undefined {
    return this.#routes.get(host)?.find(({ prefix }) => path.startsWith(prefix));
  }

  /** Whether no other route of the pool is less urgent, so that its requests are rejected first. */
  isLeastUrgent({ rank }: Route, pool: PoolName): boolean {
    return rank >= (this.#maxRanks.get(pool) ?? rank);
  }

  /** Urgency level of a request; 0 is the most urgent. */
  urgencyLevelOf(route: Route, workspace: Workspace | undefined): number {
    return this.#urgency.levelOf(rankPairOf(route, workspace));
  }

  findWorkspace(key: string): Workspace | undefined {
    return this.#workspaces.get(key);
  }

  findPool(name: PoolName): Pool | undefined {
    return this.#pools.get(name);
  }
}

/** Chooses a target at random by weight; `draw` is uniform in [0, 1). @public */
export function chooseTarget(targets: readonly Target[], draw: number): Target | undefined {
  const total = targets.reduce((sum, { weight }) => sum + weight, 0);
  let remainingWeight = draw * total;
  for (const target of targets) {
    remainingWeight -= target.weight;
    if (remainingWeight < 0) return target;
  }
  return targets.findLast(({ weight }) => weight > 0);
}
