/** Silence after which an instance is no longer waited for; above partitions that may heal. */
const EXPIRY_MS = 20_000;

/** Times of the last reports of instances to this leader, in fleet time. @internal */
export class ReportTimes {
  readonly #times = new Map<string, number>();

  markReported(instance: string, nowMs: number): void {
    this.#times.set(instance, nowMs);
  }

  removeExpired(nowMs: number): void {
    for (const [instance, at] of this.#times) {
      if (nowMs - at > EXPIRY_MS) this.#times.delete(instance);
    }
  }

  clear(): void {
    this.#times.clear();
  }

  /** Whether all expected instances, and all that ever reported, have reported since `sinceMs`. */
  haveAllReported(expected: readonly string[], sinceMs: number): boolean {
    const known = new Set([...this.#times.keys(), ...expected]);
    return [...known].every((instance) => (this.#times.get(instance) ?? 0) >= sinceMs);
  }
}
