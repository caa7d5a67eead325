import { divideFairly } from './divideFairly';

/** Fraction of the prompt tokens of every workspace and rank that is admitted in any case. */
const MIN_FRACTION = 0.1;

/** Returns that are counted as one request for that fraction, as a rejected caller returns several times. */
const RETURNS_PER_REQUEST = 3;

/** Part of a workspace's share for which its returning callers have priority over first tries. */
const RETURN_SHARE = 1 / 3;

/** Demand of the requests of one rank and workspace, in prompt tokens per second. @public */
export interface AdmissionDemand {
  /** Rank of the route; 0 is the most urgent. */
  readonly rank: number;
  readonly workspace: string;
  readonly firstPerS: number;
  /** Of callers that return after a rejection. */
  readonly returnPerS: number;
  /** Number of workspaces that the demand belongs to; more than 1 if they are reported together. */
  readonly weight: number;
}

/** Fractions of a demand to admit. @public */
export interface AdmittedFraction {
  readonly rank: number;
  readonly workspace: string;
  readonly first: number;
  readonly returning: number;
}

/** Prompt tokens per second of a pool. @public */
export interface AdmissionBudget {
  readonly capacityPerS: number;
  /** What to admit in all, such that the queue approaches its target. */
  readonly admissiblePerS: number;
}

const totalOf = ({ firstPerS, returnPerS }: AdmissionDemand): number => firstPerS + returnPerS;

/** Counts each request about once: with a floor for each return, callers that return often would get more. */
const floorOf = ({ firstPerS, returnPerS }: AdmissionDemand): number =>
  MIN_FRACTION * Math.max(firstPerS, returnPerS / RETURNS_PER_REQUEST);

const ratio = (part: number, whole: number): number => (whole > 0 ? Math.min(1, part / whole) : 1);

/** Divides the share of a workspace between returning callers and first tries. */
function divideShare(demand: AdmissionDemand, share: number): AdmittedFraction {
  const { rank, workspace, firstPerS, returnPerS } = demand;
  const total = totalOf(demand);
  if (share >= total) return { rank, workspace, first: 1, returning: 1 };
  // Never less than in proportion: many returning callers would otherwise be worse off than first tries.
  const wanted = Math.max(share * RETURN_SHARE, (share * returnPerS) / total);
  const returning = Math.min(returnPerS, wanted);
  return {
    rank,
    workspace,
    first: ratio(share - returning, firstPerS),
    // Without returning callers now, those that come later find the reserved part.
    returning: returnPerS > 0 ? ratio(returning, returnPerS) : 1,
  };
}

/**
 * Fractions of the requests to admit, by rank and workspace. Load pattern: more prompt tokens than the engines
 * prefill, of several routes and workspaces. More urgent ranks are served first, apart from the floors of the
 * others; within a rank the workspaces get max-min fair shares. A queue that is longer than its target reduces
 * only what those ranks get that exceed the capacity, as the others are prefilled before them.
 * @public
 */
export function divideAdmission(
  demands: readonly AdmissionDemand[],
  { capacityPerS, admissiblePerS }: AdmissionBudget,
): AdmittedFraction[] {
  const ranks = [...new Set(demands.map(({ rank }) => rank))].sort((a, b) => a - b);
  let reserved = demands.reduce((sum, demand) => sum + floorOf(demand), 0);
  let admitted = 0;
  return ranks.flatMap((rank) => {
    const ranked = demands.filter((demand) => demand.rank === rank);
    reserved -= ranked.reduce((sum, demand) => sum + floorOf(demand), 0);
    const claims = ranked.map((one) => ({
      demand: totalOf(one),
      floor: floorOf(one),
      weight: one.weight,
    }));
    const demand = claims.reduce((sum, claim) => sum + claim.demand, 0);
    const exceeds = admitted + demand + reserved > capacityPerS;
    const budget = exceeds ? admissiblePerS : capacityPerS;
    const shares = divideFairly(claims, Math.max(0, budget - admitted - reserved));
    admitted += shares.reduce((sum, share) => sum + share, 0);
    return ranked.map((one, at) => divideShare(one, shares[at] ?? 0));
  });
}
