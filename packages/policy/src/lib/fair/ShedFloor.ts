/** Time for which a floor holds after the latest refusal that needed it, in milliseconds. */
const HOLD_MS = 1_000;

/** Lowest tier of the configuration's schema. */
const LOWEST_TIER = 9;

/**
 * The tiers of one pool that are being shed, in this entry and in others. Before an entry refuses a
 * tier it raises the floor to it and tells the other entries; lower tiers are then refused in all of
 * them, and only after that the tier itself.
 * @internal
 */
export class ShedFloor {
  /** For each tier: since when, and until when, this entry has had its floor there. */
  readonly #raisedAt = new Float64Array(LOWEST_TIER + 1);

  readonly #raisedUntil = new Float64Array(LOWEST_TIER + 1).fill(-Infinity);

  /** For each tier: until when another entry has its floor there. */
  readonly #learnedUntil = new Float64Array(LOWEST_TIER + 1).fill(-Infinity);

  /** This entry is about to refuse requests of the tier. */
  raise(tier: number, now: number): void {
    if ((this.#raisedUntil[tier] as number) <= now) this.#raisedAt[tier] = now;
    this.#raisedUntil[tier] = now + HOLD_MS;
  }

  /** Another entry has its floor at the tier for a time in milliseconds. */
  learned(tier: number, ttlMs: number, now: number): void {
    this.#learnedUntil[tier] = Math.max(this.#learnedUntil[tier] as number, now + ttlMs);
  }

  /** Whether the others have had the time to refuse what is lower than the tier. */
  isNoticed(tier: number, noticeMs: number, now: number): boolean {
    for (let higher = 1; higher <= tier; higher += 1) {
      const isRaised = (this.#raisedUntil[higher] as number) > now;
      if (isRaised && now - (this.#raisedAt[higher] as number) >= noticeMs) return true;
      if ((this.#learnedUntil[higher] as number) > now) return true;
    }
    return false;
  }

  /** Highest tier that this entry is shedding, with the time left in milliseconds. */
  own(now: number): { readonly tier: number; readonly ttlMs: number } | undefined {
    const tier = this.#raisedUntil.findIndex((until) => until > now);
    if (tier < 0) return undefined;
    return { tier, ttlMs: (this.#raisedUntil[tier] as number) - now };
  }

  /** Tiers below this number are refused; undefined when nothing is shed. */
  current(now: number): number | undefined {
    for (let tier = 1; tier <= LOWEST_TIER; tier += 1) {
      const until = Math.max(this.#raisedUntil[tier] as number, this.#learnedUntil[tier] as number);
      if (until > now) return tier;
    }
    return undefined;
  }
}
