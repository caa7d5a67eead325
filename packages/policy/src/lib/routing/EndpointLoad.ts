import type { Load, RequestId } from '@berylwood/schema';
import type { Candidate } from '../Job';

/** Reports older than this are not relied on for credits alone, in milliseconds. */
const STALE_MS = 3_000;

/**
 * Time on the way, in milliseconds: what was sent less than this before a report arrived is taken
 * to be missing from it.
 */
const TRANSIT_MS = 20;

/** Part of the window that is kept when an endpoint refuses. */
const WINDOW_DECREASE = 0.5;

/** Lowest tier of the configuration's schema. */
const LAST_TIER = 9;

/**
 * What an entry knows of the load of one endpoint: the latest report, which lags, plus what the
 * entry has sent and seen end since. Without a report, or with a stale one, the entry keeps to a
 * window of its own, which grows with each completed request and shrinks with each refused one.
 * @internal
 */
export class EndpointLoad {
  candidate: Candidate;

  load: Load | undefined;

  reportedAt = -Infinity;

  /** Times of sends that the latest report can not contain, oldest first. */
  #unseen: number[] = [];

  #endedSince = 0;

  /** Sends beyond the credits since the latest report. */
  urgentSends = 0;

  /** Tiers of this entry's own requests there. */
  readonly #running = new Map<RequestId, number>();

  readonly #runningByTier = new Uint32Array(LAST_TIER + 1);

  /** Suspects of this entry that run there. */
  suspects = 0;

  #window: number;

  constructor(candidate: Candidate) {
    this.candidate = candidate;
    this.#window = candidate.slots;
  }

  get slots(): number {
    return Math.max(1, this.load?.slots ?? this.candidate.slots);
  }

  get isOpen(): boolean {
    return this.candidate.isOpen && !this.load?.leaving;
  }

  reported(load: Load, at: number): void {
    this.load = load;
    this.reportedAt = at;
    this.#unseen = this.#unseen.filter((sentAt) => sentAt > at - TRANSIT_MS);
    this.#endedSince = 0;
    this.urgentSends = 0;
  }

  sent(request: RequestId, tier: number, now: number): void {
    this.#running.set(request, tier);
    this.#runningByTier[tier] = (this.#runningByTier[tier] ?? 0) + 1;
    this.#unseen.push(now);
  }

  ended(request: RequestId, outcome: 'completed' | 'cancelled' | 'refused' | 'failed'): void {
    const tier = this.#running.get(request);
    if (tier === undefined) return;
    this.#running.delete(request);
    this.#runningByTier[tier] = (this.#runningByTier[tier] ?? 1) - 1;
    this.#endedSince += 1;
    if (outcome === 'refused') this.#window = Math.max(1, this.#window * WINDOW_DECREASE);
    if (outcome === 'completed') {
      this.#window = Math.min(this.slots, this.#window + 1 / this.#window);
    }
  }

  isStale(now: number): boolean {
    return now - this.reportedAt > STALE_MS;
  }

  /** Requests that may be sent now without exceeding the endpoint's slots. */
  available(now: number): number {
    if (!this.isOpen) return 0;
    const own = this.#running.size;
    if (!this.load || this.isStale(now)) return Math.floor(this.#window) - own;
    return Math.min(this.load.credits - this.#unseen.length + this.#endedSince, this.slots - own);
  }

  /** Expected requests there, running and waiting, per slot. */
  perSlot(): number {
    const own = this.#running.size;
    if (!this.load) return own / this.slots;
    const { running, waiting } = this.load;
    const all = running + waiting + this.#unseen.length - this.#endedSince;
    return Math.max(own, all) / this.slots;
  }

  /** Lowest (least important) tier known to run there, or 0 when none does. */
  lowestRunningTier(now: number): number {
    const lowest = this.load && !this.isStale(now) ? this.load.runningTier : 0;
    for (let tier = LAST_TIER; tier > lowest; tier -= 1) {
      if ((this.#runningByTier[tier] ?? 0) > 0) return tier;
    }
    return lowest;
  }

  /** Whether lower work than the tier is known to run or wait there. */
  hasLower(tier: number, now: number): boolean {
    if (this.lowestRunningTier(now) > tier) return true;
    return !this.isStale(now) && (this.load?.waitingTier ?? 0) > tier;
  }
}
