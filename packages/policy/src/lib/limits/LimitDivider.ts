import type { Configuration, WorkspaceId } from '@berylwood/schema';
import {
  fallbackRequests,
  GRANT_TERM_MS,
  type LimitGrant,
  type LimitGrants,
  type LimitUse,
} from './LimitGrant';

/** Fraction of a limit that is divided evenly regardless of use, as capacity for a new burst. */
const EVEN_FRACTION = 0.1;

interface EntryReport {
  readonly uses: ReadonlyMap<WorkspaceId, LimitUse>;
  readonly at: number;
}

/**
 * Divides the limits of workspaces between entries by their reported use. It runs where the reports
 * of all entries arrive. An entry without a recent report falls back to its even share, so that share
 * stays reserved and the reporting entries together never get more than the rest.
 * @public
 */
export class LimitDivider<Entry> {
  /** In order of joining; the index is the entry's position. */
  #entries: readonly Entry[] = [];

  readonly #reports = new Map<Entry, EntryReport>();

  #configuration: Configuration | undefined;

  configure(configuration: Configuration): void {
    this.#configuration = configuration;
  }

  /** Sets all entries that may be running, whether or not they report. */
  setEntries(entries: readonly Entry[]): void {
    this.#entries = entries;
    for (const entry of [...this.#reports.keys()]) {
      if (!entries.includes(entry)) this.#reports.delete(entry);
    }
  }

  /** Records an entry's use and returns its grants for the next term. */
  useReported(entry: Entry, uses: readonly LimitUse[], now: number): LimitGrants {
    const usesByWorkspace = new Map(uses.map((use) => [use.workspace, use]));
    this.#reports.set(entry, { uses: usesByWorkspace, at: now });
    const position = this.#entries.indexOf(entry);
    const entries = this.#entries.length;
    if (position < 0) return { grants: [], entries: Math.max(1, entries), position: 0 };
    const grants = uses.map(({ workspace }) => this.#grant(entry, workspace, now));
    return { grants, entries, position };
  }

  #grant(entry: Entry, workspace: WorkspaceId, now: number): LimitGrant {
    const reporting = this.#entries.filter((other) => this.#isReporting(other, now));
    const reportingFraction = reporting.length / this.#entries.length;
    const tokens = reporting.map((other) => this.#useOf(other, workspace)?.tokensPerSecond ?? 0);
    const index = reporting.indexOf(entry);
    const tokenShare = reportingFraction * weightedFraction(tokens, index);
    return { workspace, tokenShare, requests: this.#requests(workspace, reporting, index) };
  }

  /** Number of requests by the largest remainder method, from what non-reporting entries leave. */
  #requests(workspace: WorkspaceId, reporting: readonly Entry[], index: number): number {
    const plan = this.#configuration?.customers[workspace]?.plan ?? '';
    const limit = this.#configuration?.plans[plan]?.concurrentRequests;
    if (limit === undefined) return Infinity;
    const reserved = this.#entries
      .map((other, position) => ({ other, position }))
      .filter(({ other }) => !reporting.includes(other))
      .reduce(
        (sum, { position }) => sum + fallbackRequests(limit, this.#entries.length, position),
        0,
      );
    const available = limit - reserved;
    const demands = reporting.map((other) => this.#useOf(other, workspace)?.requests ?? 0);
    const exact = demands.map((_, i) => available * weightedFraction(demands, i));
    const integerParts = exact.map(Math.floor);
    const leftover = available - integerParts.reduce((sum, value) => sum + value, 0);
    const byRemainder = exact
      .map((value, i) => ({ i, remainder: value - Math.floor(value) }))
      .sort((a, b) => b.remainder - a.remainder || a.i - b.i);
    const rank = byRemainder.findIndex(({ i }) => i === index);
    return (integerParts[index] as number) + (rank < leftover ? 1 : 0);
  }

  #isReporting(entry: Entry, now: number): boolean {
    return now - (this.#reports.get(entry)?.at ?? -Infinity) < GRANT_TERM_MS;
  }

  #useOf(entry: Entry, workspace: WorkspaceId): LimitUse | undefined {
    return this.#reports.get(entry)?.uses.get(workspace);
  }
}

/** Fraction for one of several weights; `EVEN_FRACTION` of the total is divided evenly. */
function weightedFraction(weights: readonly number[], index: number): number {
  const sum = weights.reduce((total, weight) => total + weight, 0);
  const even = 1 / weights.length;
  if (sum === 0) return even;
  return EVEN_FRACTION * even + (1 - EVEN_FRACTION) * ((weights[index] as number) / sum);
}
