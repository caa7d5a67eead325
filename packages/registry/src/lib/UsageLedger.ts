/** Requests begun by each workspace in one window. @public */
export type WindowCounts = Record<string, number>;

/**
 * Counts of usage windows that are not closed yet. Each instance reports cumulative counts, so that
 * a repeated report changes nothing and a new leader learns all of them again.
 * @public
 */
export class UsageLedger {
  readonly #windows = new Map<number, Map<string, WindowCounts>>();

  /** Number of the latest window with counts; 0 without one. */
  get latestWindow(): number {
    return Math.max(0, ...this.#windows.keys());
  }

  /** Adds a request of this instance. */
  countRequest(source: string, window: number, workspace: string): void {
    const counts = this.#countsOf(window, source);
    counts[workspace] = (counts[workspace] ?? 0) + 1;
  }

  /** Takes over the cumulative counts that another instance reports. */
  mergeCounts(source: string, window: number, counts: WindowCounts): void {
    const known = this.#countsOf(window, source);
    for (const [workspace, count] of Object.entries(counts)) {
      known[workspace] = Math.max(known[workspace] ?? 0, count);
    }
  }

  /** Counts of one source in the windows after a number. */
  countsSince(source: string, window: number): [number, WindowCounts][] {
    return [...this.#windows].flatMap(([number, sources]): [number, WindowCounts][] => {
      const counts = sources.get(source);
      return number > window && counts ? [[number, counts]] : [];
    });
  }

  /** Sum over all sources. */
  total(window: number): WindowCounts {
    const total: WindowCounts = {};
    for (const counts of this.#windows.get(window)?.values() ?? []) {
      for (const [workspace, count] of Object.entries(counts)) {
        total[workspace] = (total[workspace] ?? 0) + count;
      }
    }
    return total;
  }

  /** Forgets windows up to a number. */
  discardThrough(window: number): void {
    for (const number of this.#windows.keys()) {
      if (number <= window) this.#windows.delete(number);
    }
  }

  #countsOf(window: number, source: string): WindowCounts {
    const sources = this.#windows.get(window) ?? new Map<string, WindowCounts>();
    this.#windows.set(window, sources);
    const counts = sources.get(source) ?? {};
    sources.set(source, counts);
    return counts;
  }
}
