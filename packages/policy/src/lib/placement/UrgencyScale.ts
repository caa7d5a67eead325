/** Ranks of what a request belongs to; 0 is the most urgent. @public */
export interface RankPair {
  /** Rank of the workspace, or of the route where the workspace has none: it goes first. */
  readonly rank: number;
  /** Rank of the route. */
  readonly routeRank: number;
}

/** Levels of urgency that endpoints tell apart. @public */
export const URGENCY_LEVELS = 10;

const keyOf = ({ rank, routeRank }: RankPair): string => `${rank}/${routeRank}`;

/**
 * Maps ranks of workspaces and of routes to the levels that endpoints know. Load pattern: the long
 * prompts of a workspace queue before its own short ones. Workspaces go first, as operators say;
 * within one rank, routes go by theirs.
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
    // With more pairs than levels, only ranks of workspaces are told apart.
    const hasLevelPerPair = ordered.length <= URGENCY_LEVELS;
    const factor = Math.min(1, URGENCY_LEVELS / ranks.length);
    ordered.forEach((pair, at) => {
      this.#levels.set(
        keyOf(pair),
        hasLevelPerPair ? at : Math.floor(ranks.indexOf(pair.rank) * factor),
      );
    });
  }

  /** Level of a pair; the last one for a pair that was not given. */
  levelOf(pair: RankPair): number {
    return this.#levels.get(keyOf(pair)) ?? URGENCY_LEVELS - 1;
  }
}
