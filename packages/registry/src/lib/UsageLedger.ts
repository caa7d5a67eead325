/** Number of requests started in one window, by workspace. @public */
export type WindowCounts = Record<string, number>;

/**
 * Counts of usage windows that are not closed yet. Each instance reports cumulative counts, so that
 * a repeated report changes nothing and a new leader receives all counts again.
 * @public
 */
export class UsageLedger {
  readonly #windows = new Map<number, Map<string, WindowCounts>>();

  /** Number of the latest window with counts; 0 without one. */
  get latestWindow(): number {
    return Math.max(0, ...this.#windows.keys());
  }

  /** Counts one request of this instance. */
  countRequest(source: string, window: number, workspace: string): void {
    const counts = this.#countsOf(window, source);
    counts[workspace] = (counts[workspace] ?? 0) + 1;
  }

  /** Merges cumulative counts of another instance; for each workspace the higher count wins. */
  mergeCounts(source: string, window: number, counts: WindowCounts): void {
    const known = this.#countsOf(window, source);
    for (const [workspace, count] of Object.entries(counts)) {
      known[workspace] = Math.max(known[workspace] ?? 0, count);
    }
  }

  /** Counts of one source in the windows after `window`. */
  countsSince(source: string, window: number): [number, WindowCounts][] {
    return [...this.#windows].flatMap(([number, sources]): [number, WindowCounts][] => {
      const counts = sources.get(source);
      return number > window && counts ? [[number, counts]] : [];
    });
  }

  /** Sum of the counts of all sources. */
  total(window: number): WindowCounts {
    const total: WindowCounts = {};
    for (const counts of this.#windows.get(window)?.values() ?? []) {
      for (const [workspace, count] of Object.entries(counts)) {
        total[workspace] = (total[workspace] ?? 0) + count;
      }
    }
    return total;
  }

  /** Discards all windows up to and including `window`. */
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
