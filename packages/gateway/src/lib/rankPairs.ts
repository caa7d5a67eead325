import type { RankPair } from '@berylwood/policy';
import type { Route, RoutingConfiguration, Workspace } from './RoutingConfiguration';

/** Ranks of a request of a workspace, or of a caller without a key, on a route. @internal */
export function rankPairOf(
  route: Pick<Route, 'rank'>,
  workspace: Pick<Workspace, 'rank'> | undefined,
): RankPair {
  return { rank: workspace?.rank ?? route.rank, routeRank: route.rank };
}

/**
 * Rank pairs of all requests that the configuration allows. Load pattern: the configuration grows by
 * a thousand routes while callers are served, so the pairs are composed of the distinct ranks and not of
 * all combinations of routes and workspaces.
 * @internal
 */
export function distinctRankPairs({ routes, workspaces }: RoutingConfiguration): RankPair[] {
  const workspaceRanks = new Set(workspaces?.map(({ rank }) => rank));
  const keyedRanks = new Set(routes.map(({ rank }) => rank));
  const openRoutes = workspaces ? routes.filter(({ isAnonymous }) => isAnonymous) : routes;
  const keylessRanks = new Set(openRoutes.map(({ rank }) => rank));
  return [
    ...[...keyedRanks].flatMap((routeRank) =>
      [...workspaceRanks].map((rank) => rankPairOf({ rank: routeRank }, { rank })),
    ),
    ...[...keylessRanks].map((rank) => rankPairOf({ rank }, undefined)),
  ];
}
