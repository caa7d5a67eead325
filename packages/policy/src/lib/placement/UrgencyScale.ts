/** Ranks of a request's workspace and route; 0 is the most urgent. @public */
export interface RankPair {
  /** Rank of the workspace, or of the route if the workspace has none. Compared first. */
  readonly rank: number;
  /** Rank of the route. */
  readonly routeRank: number;
}

/** Number of urgency levels that endpoints distinguish. @public */
export const URGENCY_LEVELS = 10;

const keyOf = ({ rank, routeRank }: RankPair): string => `${rank}/${routeRank}`;

/**
 * Maps ranks of workspaces and routes to the urgency levels of endpoints. The rank of the workspace,
 * which operators set, takes precedence. Within one rank, routes are ordered by their own rank. Load
 * pattern: long prompts of a workspace are queued ahead of its own short prompts.
 * @public
 */
export class UrgencyScale {
  readonly #levels = new Map<string, number>();

  constructor(pairs: Iterable<RankPair>) {
    const unique = new Map([...pairs].map((pair) => [keyOf(pair), pair]));
    const ordered = [...unique.values()].sort(
      (a, b) => a.rank - b.rank || a.routeRank - b.routeRank,
    );
    const ranks = [...new Set(ordered.map(({ rank }) => rank))];
    // With more pairs than levels, only the ranks of workspaces are distinguished.
    const hasLevelPerPair = ordered.length <= URGENCY_LEVELS;
    const factor = Math.min(1, URGENCY_LEVELS / ranks.length);
    ordered.forEach((pair, at) => {
      this.#levels.set(
        keyOf(pair),
        hasLevelPerPair ? at : Math.floor(ranks.indexOf(pair.rank) * factor),
      );
    });
  }

  /** Level of a pair; the least urgent level for an unknown pair. */
  levelOf(pair: RankPair): number {
    return this.#levels.get(keyOf(pair)) ?? URGENCY_LEVELS - 1;
  }
}
