import {
  requestCodes,
  type CacheEvent,
  type Configuration,
  type EndpointId,
  type RequestId,
} from '@berylwood/schema';
import type { Code } from '@berylwood/base';
import type { Candidate, Decision, JobResult, Job, LoadReport, PoolFloor } from './Job';
import { Scheduler } from './Scheduler';
import { RunTable } from './fair/RunTable';
import { Ticket } from './fair/Ticket';
import { WaitingPool } from './fair/WaitingPool';
import { WorkEstimate } from './fair/WorkEstimate';
import { PoolMap, type PoolKey } from './PoolMap';
import { Router, type RouterOptions } from './routing/Router';

/** Options of a fair scheduler. @public */
export interface FairSchedulerOptions extends RouterOptions {
  /**
   * Maximum number of waiting requests. Above it, the pool with the most waiting requests rejects
   * from its lowest tier. Default 20000.
   */
  readonly maxWaiting?: number;
  /**
   * Propagation delay of a shedding floor to the other entries, in milliseconds. A tier is rejected
   * only after one such delay for each lower tier. 0 if floors are not propagated. Default 0.
   */
  readonly floorDelayMs?: number;
}

const DEFAULT_MAX_WAITING = 20_000;

/** Interval between overload checks, in milliseconds. */
const OVERLOAD_INTERVAL_MS = 50;

/** Longest interval between decisions while requests wait, in milliseconds. */
const POLL_MS = 200;

/** After this many tickets without an eligible endpoint, a pool waits for the next decision. */
const MAX_SKIPPED = 8;

/**
 * Tiers with a guaranteed minimum share for each class, weighted fair queueing between workspaces by
 * work, deadlines by class, early rejection under overload, and routing by prefix affinity and load.
 * Requests wait here until an endpoint has capacity, so that their order is decided late.
 * @public
 */
export class FairScheduler extends Scheduler {
  readonly #router: Router;

  readonly #maxWaiting: number;

  readonly #estimate = new WorkEstimate();

  readonly #pools = new PoolMap((key) => this.#createPool(key));

  readonly #tickets = new Map<RequestId, Ticket>();

  readonly #runs: RunTable;

  readonly #floorDelayMs: number;

  #configuration: Configuration | undefined;

  #overloadCheckedAt = -Infinity;

  constructor(options: FairSchedulerOptions = {}) {
    super();
    this.#router = new Router(options);
    this.#runs = new RunTable(this.#router, this.#estimate);
    this.#maxWaiting = options.maxWaiting ?? DEFAULT_MAX_WAITING;
    this.#floorDelayMs = options.floorDelayMs ?? 0;
  }

  override configure(configuration: Configuration): void {
    this.#configuration = configuration;
    for (const pool of this.#pools.values()) pool.configure(configuration.classes);
  }

  override setCandidates(candidates: readonly Candidate[], now: number): void {
    this.#router.setCandidates(candidates, now);
  }

  override loadReported(report: LoadReport): void {
    this.#router.reported(report);
  }

  override cacheChanged(endpoint: EndpointId, events: readonly CacheEvent[]): void {
    this.#router.cacheChanged(endpoint, events);
  }

  override offer(job: Job, now: number): void {
    this.withdraw(job.request);
    const pool = this.#pools.get(job);
    const ticket = new Ticket(job, pool, this.#estimate.of(job), job.targetAt - pool.leadMsOf(job));
    this.#tickets.set(job.request, ticket);
    pool.add(ticket, now);
  }

  override withdraw(request: RequestId): void {
    const ticket = this.#tickets.get(request);
    if (ticket) this.#remove(ticket);
  }

  override progressed(request: RequestId, answerTokens: number, now: number): void {
    this.#runs.progressed(request, answerTokens, now);
  }

  override ended(result: JobResult, now: number): void {
    this.#runs.ended(result, now);
  }

  override floors(now: number): PoolFloor[] {
    const floors: PoolFloor[] = [];
    for (const pool of this.#pools.values()) {
      const local = pool.floor.local(now);
      if (local) floors.push({ ...pool.key, ...local });
    }
    return floors;
  }

  override floorReceived(floor: PoolFloor, now: number): void {
    this.#pools.get(floor).floor.received(floor.tier, floor.ttlMs, now);
  }

  override decide(now: number): Decision[] {
    const decisions: Decision[] = [];
    this.#router.refresh(now);
    const checksOverload = now - this.#overloadCheckedAt >= OVERLOAD_INTERVAL_MS;
    if (checksOverload) this.#overloadCheckedAt = now;
    for (const pool of this.#pools.values()) {
      if (pool.waiting === 0) {
        pool.drainRate.setSaturated(false, now);
        continue;
      }
      this.#rejectBelowFloor(pool, now, decisions);
      this.#dispatchToFree(pool, now, decisions);
      this.#dispatchUrgent(pool, now, decisions);
      this.#resolveExpired(pool, now, decisions);
      if (!this.#router.pool(pool.key).hasOpen) this.#rejectWithoutEndpoint(pool, now, decisions);
      pool.drainRate.setSaturated(pool.waiting > 0, now);
      if (checksOverload) this.#shedOverload(pool, now, decisions);
    }
    if (this.#tickets.size > this.#maxWaiting) this.#shedExcess(now, decisions);
    return decisions;
  }

  override nextAt(now: number): number | undefined {
    if (this.#tickets.size === 0) return undefined;
    let next = now + POLL_MS;
    for (const pool of this.#pools.values()) {
      if (pool.waiting > 0) next = Math.min(next, pool.nextAt(now));
    }
    return next;
  }

  override waitingByTier(): ReadonlyMap<number, number> {
    const result = new Map<number, number>();
    for (const pool of this.#pools.values()) {
      for (const { tier, fair } of pool.tiers) {
        if (fair.waiting > 0) result.set(tier, (result.get(tier) ?? 0) + fair.waiting);
      }
    }
    return result;
  }

  /** Dispatches to endpoints with free capacity. Tickets without an eligible one are requeued. */
  #dispatchToFree(pool: WaitingPool, now: number, decisions: Decision[]): void {
    const endpoints = this.#router.pool(pool.key);
    const skipped: Ticket[] = [];
    while (endpoints.hasFree && skipped.length < MAX_SKIPPED) {
      const selection = pool.next(now);
      if (!selection) break;
      const endpoint = this.#router.select(selection.ticket.job, now);
      if (endpoint) this.#dispatch(pool, selection.ticket, endpoint, false, now, decisions);
      else {
        this.#remove(selection.ticket);
        skipped.push(selection.ticket);
      }
    }
    for (const ticket of skipped) this.#requeue(ticket, now);
  }

  /** Dispatches tickets that would miss their target to full endpoints with lower-tier work. */
  #dispatchUrgent(pool: WaitingPool, now: number, decisions: Decision[]): void {
    for (const queue of pool.tiers) {
      for (;;) {
        const ticket = pool.mostUrgent(queue, now);
        const endpoint = ticket && this.#router.selectUrgent(ticket.job, now);
        if (!endpoint) break;
        this.#dispatch(pool, ticket, endpoint, true, now, decisions);
      }
    }
  }

  /** Dispatches or rejects the tickets whose maximum wait has ended, the lowest tier first. */
  #resolveExpired(pool: WaitingPool, now: number, decisions: Decision[]): void {
    for (const queue of [...pool.tiers].reverse()) {
      for (;;) {
        const ticket = queue.firstToExpire();
        if (!ticket || ticket.job.expiresAt > now) break;
        if (!this.#resolveOne(pool, ticket, now, decisions)) break;
      }
    }
  }

  /**
   * Rejects an expired ticket, unless lower-tier work can make room. That room goes first to tickets
   * of the same or a higher tier that can still meet their target. Returns false if the rejection
   * must wait until the other entries have rejected lower-tier work.
   */
  #resolveOne(pool: WaitingPool, ticket: Ticket, now: number, decisions: Decision[]): boolean {
    while (ticket.isWaiting) {
      const endpoint = this.#selectForExpired(pool, ticket, now);
      if (!endpoint) {
        const { expiresAt, tier } = ticket.job;
        const isOverdue = now >= expiresAt + this.#propagationMs(pool, tier);
        if (!this.#mayReject(pool, ticket, now) && !isOverdue) return false;
        this.#rejectWithLower(pool, ticket, requestCodes.overloaded, now, decisions);
        return true;
      }
      const onTime = pool.nextOnTime(ticket.job.tier, now);
      const isEligible = onTime !== undefined && this.#router.isEligible(onTime.job, endpoint);
      this.#dispatch(pool, isEligible ? onTime : ticket, endpoint, true, now, decisions);
    }
    return true;
  }

  /** Raises the floor to a ticket's tier. Returns true once other entries have had time to apply it. */
  #mayReject(pool: WaitingPool, { job }: Ticket, now: number): boolean {
    pool.floor.raise(job.tier, now);
    return pool.floor.hasHeldFor(job.tier, this.#propagationMs(pool, job.tier), now);
  }

  /** Time that all entries need to reject the tiers below this one, in milliseconds. */
  #propagationMs(pool: WaitingPool, tier: number): number {
    return this.#floorDelayMs * Math.max(1, pool.countTiersBelow(tier));
  }

  /** Rejects tickets of tiers below the floor of this entry or of another one. */
  #rejectBelowFloor(pool: WaitingPool, now: number, decisions: Decision[]): void {
    const floor = pool.floor.effective(now);
    while (floor !== undefined && pool.hasWaitingBelow(floor)) {
      const ticket = pool.nextToShed();
      if (!ticket || pool.isProtected(ticket, now)) return;
      const { tier } = ticket.job;
      if (!pool.floor.hasHeldFor(tier, this.#floorDelayMs * pool.countTiersBelow(tier), now))
        return;
      this.#reject(pool, ticket, requestCodes.overloaded, now, decisions);
    }
  }

  /** Selects an endpoint for an expired ticket while lower-tier work waits or runs. */
  #selectForExpired(pool: WaitingPool, { job }: Ticket, now: number): EndpointId | undefined {
    const urgent = this.#router.selectUrgent(job, now);
    if (urgent) return urgent;
    if (!pool.hasWaitingBelow(job.tier) && !this.#router.mayHaveLowerTierWork(job, now))
      return undefined;
    return this.#router.selectQueue(job, now);
  }

  /** Rejects tickets that can no longer meet their target, the lowest tier first. */
  #rejectWithoutEndpoint(pool: WaitingPool, now: number, decisions: Decision[]): void {
    for (const queue of [...pool.tiers].reverse()) {
      for (const ticket of queue.fair.listLate(now)) {
        this.#rejectWithLower(pool, ticket, requestCodes.noEndpoint, now, decisions);
      }
    }
  }

  /** Rejects tickets early that cannot be served within their maximum wait, the lowest tier first. */
  #shedOverload(pool: WaitingPool, now: number, decisions: Decision[]): void {
    while (pool.overloadedTier(now) !== undefined) {
      const ticket = pool.nextToShed();
      if (!ticket || pool.isProtected(ticket, now)) return;
      if (!this.#mayReject(pool, ticket, now)) return;
      this.#rejectWithLower(pool, ticket, requestCodes.overloaded, now, decisions);
    }
  }

  #shedExcess(now: number, decisions: Decision[]): void {
    while (this.#tickets.size > this.#maxWaiting) {
      const [fullest] = [...this.#pools.values()].sort((a, b) => b.waiting - a.waiting);
      const ticket = fullest?.nextToShed();
      if (!fullest || !ticket) return;
      this.#rejectWithLower(fullest, ticket, requestCodes.overloaded, now, decisions);
    }
  }

  /** Rejects all tickets of lower tiers in the same pool, then the ticket itself. */
  #rejectWithLower(
    pool: WaitingPool,
    ticket: Ticket,
    code: Code,
    now: number,
    decisions: Decision[],
  ): void {
    while (pool.hasWaitingBelow(ticket.job.tier)) {
      const lower = pool.nextToShed() as Ticket;
      this.#reject(pool, lower, code, now, decisions);
    }
    this.#reject(pool, ticket, code, now, decisions);
  }

  #reject(pool: WaitingPool, ticket: Ticket, code: Code, now: number, decisions: Decision[]): void {
    const { request, tier } = ticket.job;
    this.#remove(ticket);
    decisions.push({ type: 'refuse', request, code, retryAfterMs: pool.retryAfterMs(tier, now) });
  }

  #dispatch(
    pool: WaitingPool,
    ticket: Ticket,
    endpoint: EndpointId,
    isUrgent: boolean,
    now: number,
    decisions: Decision[],
  ): void {
    this.#remove(ticket);
    pool.sent(ticket, now);
    this.#runs.started(ticket, endpoint, isUrgent, now);
    const { request } = ticket.job;
    const decision = { type: 'dispatch', request, endpoint } as const;
    decisions.push(isUrgent ? { ...decision, isUrgent } : decision);
  }

  #remove(ticket: Ticket): void {
    this.#tickets.delete(ticket.job.request);
    ticket.pool.remove(ticket);
  }

  /** Requeues a removed ticket as a new one, since the queues drop removed tickets lazily. */
  #requeue({ job, pool, work, startBy }: Ticket, now: number): void {
    const ticket = new Ticket(job, pool, work, startBy);
    this.#tickets.set(job.request, ticket);
    pool.add(ticket, now, false);
  }

  #createPool(key: PoolKey): WaitingPool {
    const pool = new WaitingPool(key);
    if (this.#configuration) pool.configure(this.#configuration.classes);
    return pool;
  }
}
