import { UrgencyScale } from '@berylwood/policy';
import type { PoolName } from './ids';
import { distinctRankPairs, rankPairOf } from './rankPairs';
import type { Pool, Route, RoutingConfiguration, Target, Workspace } from './RoutingConfiguration';

/** Index of a routing configuration for lookups per request. @public */
export class RoutingTable {
  readonly configuration: RoutingConfiguration;

  /** Routes by host, then by prefix. */
  readonly #routes = new Map<string, Map<string, Route>>();

  /** Length of the longest prefix of all routes, which bounds the lookups for a path. */
  #maxPrefixLength = 0;

  readonly #workspaces = new Map<string, Workspace>();

  readonly #pools = new Map<PoolName, Pool>();

  /** By pool, the rank of its least urgent route. */
  readonly #maxRanks = new Map<PoolName, number>();

  readonly #urgency: UrgencyScale;

  constructor(configuration: RoutingConfiguration) {
    this.configuration = configuration;
    this.#urgency = new UrgencyScale(distinctRankPairs(configuration));
    for (const route of configuration.routes) {
      const routes = this.#routes.get(route.host) ?? new Map<string, Route>();
      routes.set(route.prefix, route);
      this.#routes.set(route.host, routes);
      this.#maxPrefixLength = Math.max(this.#maxPrefixLength, route.prefix.length);
      for (const { pool } of route.targets) {
        this.#maxRanks.set(pool, Math.max(route.rank, this.#maxRanks.get(pool) ?? 0));
      }
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

  /** Finds the route with the longest prefix of the path. Prefixes end with a slash. */
  findRoute(host: string, path: string): Route | undefined {
    const routes = this.#routes.get(host);
    let end = path.lastIndexOf('/', this.#maxPrefixLength - 1);
    while (routes && end >= 0) {
      const route = routes.get(path.slice(0, end + 1));
      if (route) return route;
      end = end === 0 ? -1 : path.lastIndexOf('/', end - 1);
    }
    return undefined;
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
