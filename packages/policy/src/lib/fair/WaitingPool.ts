import type { RequestClass } from '@berylwood/schema';
import type { Job } from '../Job';
import type { PoolKey } from '../PoolMap';
import { DrainRate } from '../queue/DrainRate';
import { FairQueue } from '../queue/FairQueue';
import { MinimumShare } from '../queue/MinimumShare';
import { MovingAverage } from './MovingAverage';
import { ShedFloor } from './ShedFloor';
import type { Ticket } from './Ticket';
import { TierQueue } from './TierQueue';

/** Slack at which a ticket takes precedence over late ones of higher tiers, in milliseconds. */
const URGENT_SLACK_MS = 250;

/** Time before the end of its maximum wait at which a late ticket regains precedence, in ms. */
const EXPIRING_MS = 1_000;

/** The same time as a fraction of the maximum wait, which applies if it is shorter. */
const EXPIRING_FRACTION = 0.25;

/** Assumed time from dispatch to first token (TTFT) before the first sample, in milliseconds. */
const INITIAL_TTFT_MS = 200;

/** Multiple of the average at which a TTFT sample is clipped. */
const MAX_TTFT_GROWTH = 2;

/** Multiple of the average above which a TTFT shows that the request was queued. */
const DELAYED_FACTOR = 3;

/** Maximum lead time as a fraction of the time from a job's arrival to its target. */
const MAX_LEAD_FRACTION = 0.5;

const MIN_RETRY_AFTER_MS = 100;

const MAX_RETRY_AFTER_MS = 120_000;

const DEFAULT_RETRY_AFTER_MS = 1_000;

/** The next ticket to dispatch. @internal */
export interface Selection {
  readonly ticket: Ticket;
  /** Selected for its class's guaranteed minimum share, ahead of its tier. */
  readonly isGuaranteed: boolean;
}

/**
 * The requests that wait in an entry for one model or service. Classes below their guaranteed minimum
 * share are served first, then the tiers in order. Within a tier, tickets that can still meet their
 * target precede late ones. Urgent tickets of lower tiers also precede late ones, until the maximum
 * wait of the late ones is about to end.
 * @internal
 */
export class WaitingPool {
  /** The model or service. */
  readonly key: PoolKey;

  readonly drainRate = new DrainRate();

  /** Time from dispatch to first token, in milliseconds. */
  readonly #ttftMs = new MovingAverage(INITIAL_TTFT_MS);

  readonly minimumShare = new MinimumShare();

  readonly floor = new ShedFloor();

  /** Highest tier first. */
  readonly #tiers: TierQueue[] = [];

  readonly #classes = new Map<string, FairQueue<Ticket>>();

  #waiting = 0;

  constructor(key: PoolKey) {
    this.key = key;
  }

  get waiting(): number {
    return this.#waiting;
  }

  /** Queues of the tiers, the highest first. */
  get tiers(): readonly TierQueue[] {
    return this.#tiers;
  }

  configure(classes: Readonly<Record<string, RequestClass>>): void {
    this.minimumShare.configure(classes);
  }

  /** Records the time from a dispatch to its first token, in milliseconds. */
  observeTtft(ttftMs: number): void {
    // Clipped because part of the time may have been spent in a sidecar's queue.
    this.#ttftMs.observe(Math.min(ttftMs, MAX_TTFT_GROWTH * this.#ttftMs.value));
  }

  /** Whether the time to first token is so long that the request must have been queued. */
  isDelayed(ttftMs: number): boolean {
    return ttftMs > DELAYED_FACTOR * this.#ttftMs.value;
  }

  /** Lead time: time before its target by which a job must be dispatched, in milliseconds. */
  leadMsOf(job: Job): number {
    return Math.min(this.#ttftMs.value, MAX_LEAD_FRACTION * (job.targetAt - job.arrivedAt));
  }

  /** Adds a ticket. With `isNew`, it also counts as an arrival of its class. */
  add(ticket: Ticket, now: number, isNew = true): void {
    this.#tierQueueOf(ticket.job.tier).add(ticket);
    this.#classQueueOf(ticket.job.class).add(ticket);
    this.#waiting += 1;
    if (isNew) this.minimumShare.arrived(ticket.job.class, ticket.work, now);
  }

  remove(ticket: Ticket): void {
    ticket.isWaiting = false;
    this.#tierQueueOf(ticket.job.tier).remove(ticket);
    this.#classQueueOf(ticket.job.class).remove(ticket);
    this.#waiting -= 1;
  }

  /** The ticket to dispatch next. */
  next(now: number): Selection | undefined {
    const guaranteed = this.#nextGuaranteed(now);
    if (guaranteed) return { ticket: guaranteed, isGuaranteed: true };
    const ticket = this.#nextByTier(now);
    return ticket && { ticket, isGuaranteed: false };
  }

  /** Counts a dispatched ticket: its work, and its class's guaranteed minimum share. */
  sent(ticket: Ticket, now: number): void {
    const { job, work } = ticket;
    this.drainRate.served(work, now);
    this.charge(ticket, work);
    this.minimumShare.served(job.class, work, now, this.#classQueueOf(job.class).waiting > 0);
  }

  /** Charges work to the workspace, in tokens; negative work corrects an estimate. */
  charge({ job }: Ticket, work: number): void {
    this.#tierQueueOf(job.tier).fair.charge(job.workspace, job.share, work);
    this.#classQueueOf(job.class).charge(job.workspace, job.share, work);
  }

  /** The most urgent ticket of the tier, if it must be dispatched now to meet its target. */
  mostUrgent(tier: TierQueue, now: number): Ticket | undefined {
    const ticket = tier.mostUrgent(now);
    return ticket && ticket.startBy - now <= URGENT_SLACK_MS ? ticket : undefined;
  }

  /** The next ticket of the first tier, down to this one, where one can still start in time. */
  nextOnTime(tier: number, now: number): Ticket | undefined {
    for (const queue of this.#tiers) {
      if (queue.tier > tier) return undefined;
      if (queue.mostUrgent(now)) return queue.fair.peek(now);
    }
    return undefined;
  }

  /** The youngest ticket of the lowest tier, from the workspace with the largest backlog. */
  nextToShed(): Ticket | undefined {
    for (let i = this.#tiers.length - 1; i >= 0; i -= 1) {
      const ticket = (this.#tiers[i] as TierQueue).fair.nextToShed();
      if (ticket) return ticket;
    }
    return undefined;
  }

  hasWaitingBelow(tier: number): boolean {
    return this.#tiers.some((queue) => queue.tier > tier && queue.fair.waiting > 0);
  }

  /** Number of lower tiers of which the pool has ever had requests. */
  countTiersBelow(tier: number): number {
    return this.#tiers.filter((queue) => queue.tier > tier).length;
  }

  /** Whether the ticket is the last one of a class that is below its guaranteed minimum share. */
  isProtected(ticket: Ticket, now: number): boolean {
    const { job, work } = ticket;
    if (this.#classQueueOf(job.class).waiting > 1) return false;
    return this.minimumShare.isDue(job.class, work, now);
  }

  /** Highest tier whose youngest ticket cannot be served within its maximum wait. */
  overloadedTier(now: number): number | undefined {
    const rate = this.drainRate.get(now);
    if (!rate) return undefined;
    let backlog = 0;
    for (const { tier, fair } of this.#tiers) {
      backlog += fair.backlog;
      const youngest = fair.nextToShed();
      if (youngest && (backlog / rate) * 1000 > youngest.job.expiresAt - now) return tier;
    }
    return undefined;
  }

  /** Time to drain the work that precedes a new ticket of the tier, in milliseconds. */
  retryAfterMs(tier: number, now: number): number {
    const rate = this.drainRate.get(now);
    if (!rate) return DEFAULT_RETRY_AFTER_MS;
    let backlog = 0;
    for (const queue of this.#tiers) if (queue.tier <= tier) backlog += queue.fair.backlog;
    const drainMs = Math.ceil((backlog / rate) * 1000);
    return Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, drainMs));
  }

  /** Next time at which a new decision may be due without an event, in milliseconds. */
  nextAt(now: number): number {
    let next = Infinity;
    for (const queue of this.#tiers) {
      const expiresAt = queue.firstToExpire()?.job.expiresAt ?? Infinity;
      const urgentAt = (queue.mostUrgent(now)?.startBy ?? Infinity) - URGENT_SLACK_MS;
      next = Math.min(next, expiresAt, urgentAt > now ? urgentAt : Infinity);
    }
    return next;
  }

  /** Next ticket of a class below its guaranteed minimum share while other classes wait too. */
  #nextGuaranteed(now: number): Ticket | undefined {
    for (const [name, queue] of this.#classes) {
      if (queue.waiting === 0 || queue.waiting === this.#waiting) continue;
      const meanWork = queue.backlog / queue.waiting;
      if (this.minimumShare.isDue(name, meanWork, now)) return queue.peek(now);
    }
    return undefined;
  }

  /** Next ticket by tier, the highest first. Urgent tickets of lower tiers precede late ones. */
  #nextByTier(now: number): Ticket | undefined {
    let late: Ticket | undefined;
    for (const queue of this.#tiers) {
      if (queue.fair.waiting === 0) continue;
      if (late) {
        const urgent = this.mostUrgent(queue, now);
        if (urgent) return urgent;
        continue;
      }
      const first = queue.fair.peek(now);
      if (first && queue.mostUrgent(now)) return first;
      const expiring = queue.firstToExpire();
      if (expiring && isExpiring(expiring, now)) return expiring;
      late = first;
    }
    return late;
  }

  #tierQueueOf(tier: number): TierQueue {
    const known = this.#tiers.find((queue) => queue.tier === tier);
    if (known) return known;
    const queue = new TierQueue(tier);
    this.#tiers.push(queue);
    this.#tiers.sort((a, b) => a.tier - b.tier);
    return queue;
  }

  #classQueueOf(name: string): FairQueue<Ticket> {
    const known = this.#classes.get(name);
    if (known) return known;
    const queue = new FairQueue<Ticket>();
    this.#classes.set(name, queue);
    return queue;
  }
}

/** Whether the maximum wait of a ticket is about to end. */
function isExpiring({ job }: Ticket, now: number): boolean {
  const expiringMs = Math.min(EXPIRING_MS, EXPIRING_FRACTION * (job.expiresAt - job.arrivedAt));
  return now >= job.expiresAt - expiringMs;
}
