import type { Load, RequestId } from '@berylwood/schema';
import type { Candidate } from '../Job';

/** Age in milliseconds above which a load report is stale and its credits are no longer used. */
const STALE_REPORT_MS = 3_000;

/**
 * Assumed transit time in milliseconds. A load report is assumed not to include requests that were
 * sent less than this before its arrival.
 */
const REPORT_TRANSIT_MS = 20;

/** Factor applied to the concurrency window when the endpoint rejects a request. */
const WINDOW_DECREASE = 0.5;

/** Factor applied to the concurrency window when a request was queued at the endpoint. */
const WINDOW_DELAY_DECREASE = 0.7;

/** Lowest tier that the configuration schema allows. */
const LOWEST_TIER = 9;

/**
 * Estimates the load of one endpoint from one entry: the latest load report, which lags, corrected by
 * the requests that the entry has sent and that have ended since. A concurrency window bounds the
 * requests that the entry has in flight there, and is the only limit without a report or with a stale
 * one. It grows with each completed request and shrinks with each rejected or queued one (additive
 * increase, multiplicative decrease).
 * @internal
 */
export class EndpointLoad {
  candidate: Candidate;

  load: Load | undefined;

  reportedAt = -Infinity;

  /** Requests sent that the latest report does not include. */
  #unreportedSends = 0;

  /** Send times within `REPORT_TRANSIT_MS`, which a report that arrives now may not include yet. */
  #recentSendTimes: number[] = [];

  #endedSinceReport = 0;

  /** Requests sent beyond the endpoint's credits since the latest report, by tier. */
  readonly #urgentSends = new Uint32Array(LOWEST_TIER + 1);

  /** Tiers of this entry's requests in flight at the endpoint. */
  readonly #running = new Map<RequestId, number>();

  readonly #runningByTier = new Uint32Array(LOWEST_TIER + 1);

  /** Number of this entry's suspect requests that run at the endpoint. */
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

  /** Records that a request was queued at the endpoint although a slot should have been free. */
  recordQueueDelay(): void {
    this.#window = Math.max(1, this.#window * WINDOW_DELAY_DECREASE);
  }

  isStale(now: number): boolean {
    return now - this.reportedAt > STALE_REPORT_MS;
  }

  /**
   * Number of requests of the tier that can be sent now without exceeding the endpoint's slots.
   * Requests of lower tiers that wait there are not counted, since the sidecar schedules them after
   * this one.
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

  /** Estimated number of requests at the endpoint, running and waiting, per slot. */
  loadPerSlot(): number {
    const own = this.#running.size;
    if (!this.load) return own / this.slots;
    const { running, waiting } = this.load;
    const expectedRequests = running + waiting + this.#unreportedSends - this.#endedSinceReport;
    return Math.max(own, expectedRequests) / this.slots;
  }

  /** Lowest (least important) tier known to have preemptable work running there, or 0 if none. */
  lowestRunningTier(now: number): number {
    // Only the sidecar's report distinguishes preemptable attempts. Without a fresh report, only the
    // tiers of the requests that this entry has sent are known.
    if (this.load && !this.isStale(now)) return this.load.runningTier;
    for (let tier = LOWEST_TIER; tier > 0; tier -= 1) {
      if ((this.#runningByTier[tier] ?? 0) > 0) return tier;
    }
    return 0;
  }

  /** Whether requests wait there, or were sent beyond the credits since the latest report. */
  get hasQueue(): boolean {
    return (this.load?.waiting ?? 0) > 0 || this.urgentSends(LOWEST_TIER) > 0;
  }

  /** Requests of the tier and higher tiers sent beyond the credits since the latest report. */
  urgentSends(tier: number): number {
    let sum = 0;
    for (let other = 1; other <= tier; other += 1) sum += this.#urgentSends[other] ?? 0;
    return sum;
  }

  /** Whether a request of the tier or a higher tier already waits there for the next slot. */
  hasWaitingAtOrAbove(tier: number): boolean {
    const waitingTier = this.load?.waitingTier ?? 0;
    return waitingTier > 0 && waitingTier <= tier;
  }

  /** Whether work of a lower tier is known to run or wait there. */
  hasLowerTierWork(tier: number, now: number): boolean {
    if (this.lowestRunningTier(now) > tier) return true;
    return !this.isStale(now) && (this.load?.waitingTier ?? 0) > tier;
  }
}
