import type { Load, RequestId } from '@berylwood/schema';
import type { Candidate } from '../Job';

/** Reports older than this are not relied on for credits alone, in milliseconds. */
const STALE_REPORT_MS = 3_000;

/**
 * Time on the way, in milliseconds: what was sent less than this before a report arrived is taken
 * to be missing from it.
 */
const REPORT_TRANSIT_MS = 20;

/** Part of the window that is kept when an endpoint refuses. */
const WINDOW_DECREASE = 0.5;

/** Part of the window that is kept when a request has waited at the endpoint. */
const WINDOW_DELAY_DECREASE = 0.7;

/** Lowest tier of the configuration's schema. */
const LOWEST_TIER = 9;

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

  /** Sends that the latest report does not contain. */
  #unreportedSends = 0;

  /** Times of the latest sends, which a report that arrives now may not contain yet. */
  #recentSendTimes: number[] = [];

  #endedSinceReport = 0;

  /** Sends beyond the credits since the latest report, by tier. */
  readonly #urgentSends = new Uint32Array(LOWEST_TIER + 1);

  /** Tiers of this entry's own requests there. */
  readonly #running = new Map<RequestId, number>();

  readonly #runningByTier = new Uint32Array(LOWEST_TIER + 1);

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
    this.#recentSendTimes = this.#recentSendTimes.filter(
      (sentAt) => sentAt > at - REPORT_TRANSIT_MS,
    );
    this.#unreportedSends = this.#recentSendTimes.length;
    this.#endedSinceReport = 0;
    this.#urgentSends.fill(0);
  }

  sent(request: RequestId, tier: number, isUrgent: boolean, now: number): void {
    if (isUrgent) this.#urgentSends[tier] = (this.#urgentSends[tier] ?? 0) + 1;
    this.#running.set(request, tier);
    this.#runningByTier[tier] = (this.#runningByTier[tier] ?? 0) + 1;
    this.#unreportedSends += 1;
    while ((this.#recentSendTimes[0] ?? now) < now - REPORT_TRANSIT_MS)
      this.#recentSendTimes.shift();
    this.#recentSendTimes.push(now);
  }

  ended(request: RequestId, outcome: 'completed' | 'cancelled' | 'refused' | 'failed'): void {
    const tier = this.#running.get(request);
    if (tier === undefined) return;
    this.#running.delete(request);
    this.#runningByTier[tier] = (this.#runningByTier[tier] ?? 1) - 1;
    this.#endedSinceReport += 1;
    this.#urgentSends[tier] = Math.max(0, (this.#urgentSends[tier] ?? 0) - 1);
    if (outcome === 'refused') this.#window = Math.max(1, this.#window * WINDOW_DECREASE);
    if (outcome === 'completed') {
      this.#window = Math.min(this.slots, this.#window + 1 / this.#window);
    }
  }

  /** A request has waited there although there should have been room for it. */
  recordQueueDelay(): void {
    this.#window = Math.max(1, this.#window * WINDOW_DELAY_DECREASE);
  }

  isStale(now: number): boolean {
    return now - this.reportedAt > STALE_REPORT_MS;
  }

  /**
   * Requests of the tier that may be sent now without exceeding the endpoint's slots. What waits
   * there in lower tiers does not count, since the sidecar lets the request go before it.
   */
  availableSlots(tier: number, now: number): number {
    if (!this.isOpen) return 0;
    const own = this.#running.size;
    if (!this.load || this.isStale(now)) return Math.floor(this.#window) - own;
    const { running, waiting, waitingTier, credits } = this.load;
    const competing = waitingTier > tier ? 0 : waiting;
    const free = waiting > 0 ? this.slots - running - competing : credits;
    return Math.min(
      free - this.#unreportedSends + this.#endedSinceReport,
      Math.ceil(this.#window) - own,
    );
  }

  /** Expected requests there, running and waiting, per slot. */
  loadPerSlot(): number {
    const own = this.#running.size;
    if (!this.load) return own / this.slots;
    const { running, waiting } = this.load;
    const expectedRequests = running + waiting + this.#unreportedSends - this.#endedSinceReport;
    return Math.max(own, expectedRequests) / this.slots;
  }

  /** Lowest (least important) tier known to run there and to be preemptable, or 0. */
  lowestRunningTier(now: number): number {
    // The sidecar knows which attempts may be preempted, this entry only which ones it has sent.
    if (this.load && !this.isStale(now)) return this.load.runningTier;
    for (let tier = LOWEST_TIER; tier > 0; tier -= 1) {
      if ((this.#runningByTier[tier] ?? 0) > 0) return tier;
    }
    return 0;
  }

  /** Whether something waits there, or was sent beyond the credits since the report. */
  get hasQueue(): boolean {
    return (this.load?.waiting ?? 0) > 0 || this.urgentSends(LOWEST_TIER) > 0;
  }

  /** Sends of the tier and higher ones beyond the credits since the latest report. */
  urgentSends(tier: number): number {
    let sum = 0;
    for (let other = 1; other <= tier; other += 1) sum += this.#urgentSends[other] ?? 0;
    return sum;
  }

  /** Whether work of the tier or a higher one waits there already, for the next slot. */
  hasWaitingAtOrAbove(tier: number): boolean {
    const waitingTier = this.load?.waitingTier ?? 0;
    return waitingTier > 0 && waitingTier <= tier;
  }

  /** Whether lower work than the tier is known to run or wait there. */
  hasLowerTierWork(tier: number, now: number): boolean {
    if (this.lowestRunningTier(now) > tier) return true;
    return !this.isStale(now) && (this.load?.waitingTier ?? 0) > tier;
  }
}
