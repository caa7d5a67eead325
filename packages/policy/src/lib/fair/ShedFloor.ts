/** Time for which a floor holds after it was last raised for a rejection, in milliseconds. */
const HOLD_MS = 1_000;

/** Lowest tier that the configuration schema allows. */
const LOWEST_TIER = 9;

/**
 * Shedding floors of one pool, raised by this entry or received from others. Before an entry rejects
 * a tier, it raises its floor to that tier and sends the floor to the other entries. All entries then
 * reject the lower tiers, the lowest first and each after the propagation delay of a floor. The tier
 * itself is rejected last.
 * @internal
 */
export class ShedFloor {
  /** By tier: start and end of the period in which this entry's floor is at the tier. */
  readonly #raisedAt = new Float64Array(LOWEST_TIER + 1);

  readonly #raisedUntil = new Float64Array(LOWEST_TIER + 1).fill(-Infinity);

  /** By tier: start and end of the period in which another entry's floor is at the tier. */
  readonly #receivedAt = new Float64Array(LOWEST_TIER + 1);

  readonly #receivedUntil = new Float64Array(LOWEST_TIER + 1).fill(-Infinity);

  /** Raises this entry's floor to a tier that it is about to reject. */
  raise(tier: number, now: number): void {
    if ((this.#raisedUntil[tier] as number) <= now) this.#raisedAt[tier] = now;
    this.#raisedUntil[tier] = now + HOLD_MS;
  }

  /** Records another entry's floor at the tier, valid for `ttlMs` milliseconds. */
  received(tier: number, ttlMs: number, now: number): void {
    if ((this.#receivedUntil[tier] as number) <= now) this.#receivedAt[tier] = now;
    this.#receivedUntil[tier] = Math.max(this.#receivedUntil[tier] as number, now + ttlMs);
  }

  /** Whether a floor at the tier or a higher one has held for `holdMs` milliseconds. */
  hasHeldFor(tier: number, holdMs: number, now: number): boolean {
    for (let higher = 1; higher <= tier; higher += 1) {
      const isRaised = (this.#raisedUntil[higher] as number) > now;
      if (isRaised && now - (this.#raisedAt[higher] as number) >= holdMs) return true;
      const isReceived = (this.#receivedUntil[higher] as number) > now;
      if (isReceived && now - (this.#receivedAt[higher] as number) >= holdMs) return true;
    }
    return false;
  }

  /** Highest tier that this entry sheds, with the remaining time in milliseconds. */
  local(now: number): { readonly tier: number; readonly ttlMs: number } | undefined {
    const tier = this.#raisedUntil.findIndex((until) => until > now);
    if (tier < 0) return undefined;
    return { tier, ttlMs: (this.#raisedUntil[tier] as number) - now };
  }

  /** Highest floor of all entries: lower tiers are rejected. Undefined if nothing is shed. */
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
