/** Time for which a floor holds after the latest refusal that needed it, in milliseconds. */
const HOLD_MS = 1_000;

/** Lowest tier of the configuration's schema. */
const LOWEST_TIER = 9;

/**
 * The tiers of one pool that are being shed, in this entry and in others. Before an entry refuses a
 * tier it raises the floor to it and tells the other entries; lower tiers are then refused in all of
 * them, the lowest first and each after the time that a notice takes, and then the tier itself.
 * @internal
 */
export class ShedFloor {
  /** For each tier: since when, and until when, this entry has had its floor there. */
  readonly #raisedAt = new Float64Array(LOWEST_TIER + 1);

  readonly #raisedUntil = new Float64Array(LOWEST_TIER + 1).fill(-Infinity);

  /** For each tier: since when, and until when, another entry has its floor there. */
  readonly #receivedAt = new Float64Array(LOWEST_TIER + 1);

  readonly #receivedUntil = new Float64Array(LOWEST_TIER + 1).fill(-Infinity);

  /** This entry is about to refuse requests of the tier. */
  raise(tier: number, now: number): void {
    if ((this.#raisedUntil[tier] as number) <= now) this.#raisedAt[tier] = now;
    this.#raisedUntil[tier] = now + HOLD_MS;
  }

  /** Another entry has its floor at the tier for a time in milliseconds. */
  received(tier: number, ttlMs: number, now: number): void {
    if ((this.#receivedUntil[tier] as number) <= now) this.#receivedAt[tier] = now;
    this.#receivedUntil[tier] = Math.max(this.#receivedUntil[tier] as number, now + ttlMs);
  }

  /** Whether a floor at the tier or a higher one has been known for a time in milliseconds. */
  hasHeldFor(tier: number, holdMs: number, now: number): boolean {
    for (let higher = 1; higher <= tier; higher += 1) {
      const isRaised = (this.#raisedUntil[higher] as number) > now;
      if (isRaised && now - (this.#raisedAt[higher] as number) >= holdMs) return true;
      const isReceived = (this.#receivedUntil[higher] as number) > now;
      if (isReceived && now - (this.#receivedAt[higher] as number) >= holdMs) return true;
    }
    return false;
  }

  /** Highest tier that this entry is shedding, with the time left in milliseconds. */
  local(now: number): { readonly tier: number; readonly ttlMs: number } | undefined {
    const tier = this.#raisedUntil.findIndex((until) => until > now);
    if (tier < 0) return undefined;
    return { tier, ttlMs: (this.#raisedUntil[tier] as number) - now };
  }

  /** Tiers below this number are refused; undefined when nothing is shed. */
  effective(now: number): number | undefined {
    for (let tier = 1; tier <= LOWEST_TIER; tier += 1) {
      const until = Math.max(
        this.#raisedUntil[tier] as number,
        this.#receivedUntil[tier] as number,
      );
      if (until > now) return tier;
    }
    return undefined;
  }
}
