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

/** Time left to start at which a ticket goes before late ones of higher tiers, in milliseconds. */
const URGENT_SLACK_MS = 250;

/** Time before the end of the longest wait at which a late ticket gives way no more, in ms. */
const EXPIRING_MS = 1_000;

/** The same as a part of the longest wait, for short ones. */
const EXPIRING_FRACTION = 0.25;

/** Assumed time from the dispatch to the first token before any was seen, in milliseconds. */
const INITIAL_TTFT_MS = 200;

/** Factor over the average up to which a time to the first token is counted. */
const MAX_TTFT_GROWTH = 2;

/** Factor over the average from which a time to the first token shows a queue. */
const DELAYED_FACTOR = 3;

/** Part of a job's time to its target that the lead takes at most. */
const MAX_LEAD_FRACTION = 0.5;

const MIN_RETRY_AFTER_MS = 100;

const MAX_RETRY_AFTER_MS = 120_000;

const DEFAULT_RETRY_AFTER_MS = 1_000;

/** The next ticket to send. @internal */
export interface Selection {
  readonly ticket: Ticket;
  /** Chosen on its class's guaranteed minimum, ahead of its tier. */
  readonly isGuaranteed: boolean;
}

/**
 * The requests that wait in an entry for one model or service. Order of service: classes below
 * their guaranteed minimum; then by tier. Within a tier late tickets give way to those that can
 * still meet their target, and until their longest wait is about to end also to urgent ones of
 * lower tiers.
 * @internal
 */
export class WaitingPool {
  /** The model or service. */
  readonly key: PoolKey;

  readonly drainRate = new DrainRate();

  /** Time from the dispatch to the first token, in milliseconds. */
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

  /** A first token has come this long after the dispatch, in milliseconds. */
  observeTtft(ttftMs: number): void {
    // Clipped, since some of the time may have been spent in a sidecar's queue.
    this.#ttftMs.observe(Math.min(ttftMs, MAX_TTFT_GROWTH * this.#ttftMs.value));
  }

  /** Whether a first token took so long after the dispatch that it must have waited. */
  isDelayed(ttftMs: number): boolean {
    return ttftMs > DELAYED_FACTOR * this.#ttftMs.value;
  }

  /** Time before its target at which the job must be sent, in milliseconds. */
  leadMsOf(job: Job): number {
    return Math.min(this.#ttftMs.value, MAX_LEAD_FRACTION * (job.targetAt - job.arrivedAt));
  }

  /** Adds a ticket; `isNew` counts as a demand of its class. */
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

  /** The ticket to send next. */
  next(now: number): Selection | undefined {
    const guaranteed = this.#nextGuaranteed(now);
    if (guaranteed) return { ticket: guaranteed, isGuaranteed: true };
    const ticket = this.#nextByTier(now);
    return ticket && { ticket, isGuaranteed: false };
  }

  /** Counts a ticket as sent: its work, and its class's guaranteed minimum. */
  sent(ticket: Ticket, now: number): void {
    const { job, work } = ticket;
    this.drainRate.served(work, now);
    this.charge(ticket, work);
    this.minimumShare.served(job.class, work, now, this.#classQueueOf(job.class).waiting > 0);
  }

  /** Counts work against the workspace, in tokens; negative work corrects an estimate. */
  charge({ job }: Ticket, work: number): void {
    this.#tierQueueOf(job.tier).fair.charge(job.workspace, job.share, work);
    this.#classQueueOf(job.class).charge(job.workspace, job.share, work);
  }

  /** Tickets of the tier that must be sent at once to meet their target, one for each call. */
  mostUrgent(tier: TierQueue, now: number): Ticket | undefined {
    const ticket = tier.mostUrgent(now);
    return ticket && ticket.startBy - now <= URGENT_SLACK_MS ? ticket : undefined;
  }

  /** The next ticket of the tier or a higher one among those that can still start in time. */
  nextOnTime(tier: number, now: number): Ticket | undefined {
    for (const queue of this.#tiers) {
      if (queue.tier > tier) return undefined;
      if (queue.mostUrgent(now)) return queue.fair.peek(now);
    }
    return undefined;
  }

  /** The youngest ticket of the lowest tier, of the workspace with the largest backlog. */
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

  /** Tiers lower than this one that the pool has ever had requests of. */
  countTiersBelow(tier: number): number {
    return this.#tiers.filter((queue) => queue.tier > tier).length;
  }

  /** Whether the ticket is the last one of a class that is below its guaranteed minimum. */
  isProtected(ticket: Ticket, now: number): boolean {
    const { job, work } = ticket;
    if (this.#classQueueOf(job.class).waiting > 1) return false;
    return this.minimumShare.isDue(job.class, work, now);
  }

  /** Highest tier whose youngest ticket can not be served within its longest wait. */
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

  /** Time in which the work that goes before a new ticket of the tier drains, in milliseconds. */
  retryAfterMs(tier: number, now: number): number {
    const rate = this.drainRate.get(now);
    if (!rate) return DEFAULT_RETRY_AFTER_MS;
    let backlog = 0;
    for (const queue of this.#tiers) if (queue.tier <= tier) backlog += queue.fair.backlog;
    const drainMs = Math.ceil((backlog / rate) * 1000);
    return Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, drainMs));
  }

  /** Next time at which the passing of time changes what is to be done, in milliseconds. */
  nextAt(now: number): number {
    let next = Infinity;
    for (const queue of this.#tiers) {
      const expiresAt = queue.firstToExpire()?.job.expiresAt ?? Infinity;
      const urgentAt = (queue.mostUrgent(now)?.startBy ?? Infinity) - URGENT_SLACK_MS;
      next = Math.min(next, expiresAt, urgentAt > now ? urgentAt : Infinity);
    }
    return next;
  }

  /** The fairest ticket of a class that is below its guaranteed minimum while higher work waits. */
  #nextGuaranteed(now: number): Ticket | undefined {
    for (const [name, queue] of this.#classes) {
      if (queue.waiting === 0 || queue.waiting === this.#waiting) continue;
      const meanWork = queue.backlog / queue.waiting;
      if (this.minimumShare.isDue(name, meanWork, now)) return queue.peek(now);
    }
    return undefined;
  }

  /** Highest tier first; a late ticket lets urgent ones of lower tiers go before it. */
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

/** Whether the longest wait of a ticket is about to end. */
function isExpiring({ job }: Ticket, now: number): boolean {
  const expiringMs = Math.min(EXPIRING_MS, EXPIRING_FRACTION * (job.expiresAt - job.arrivedAt));
  return now >= job.expiresAt - expiringMs;
}
