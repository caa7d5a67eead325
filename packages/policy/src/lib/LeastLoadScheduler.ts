import {
  requestCodes,
  type Configuration,
  type EndpointId,
  type RequestId,
} from '@berylwood/schema';
import { Assignments } from './Assignments';
import type { Candidate, Decision, JobResult, Job, LoadReport } from './Job';
import { PoolMap } from './PoolMap';
import { Scheduler } from './Scheduler';

const RETRY_AFTER_MS = 1_000;

/**
 * Baseline: strict priority by tier, first in, first out within a tier. Selects the endpoint with the
 * least reported load among those on which this entry runs fewer requests than there are slots.
 * @public
 */
export class LeastLoadScheduler extends Scheduler {
  readonly #tiers = new Map<number, Map<RequestId, Job>>();

  readonly #assignments = new Assignments();

  readonly #load = new Map<EndpointId, number>();

  #candidates: readonly Candidate[] = [];

  override configure(_configuration: Configuration): void {
    // Each job carries its tier. Nothing else in a plan is used.
  }

  override setCandidates(candidates: readonly Candidate[]): void {
    this.#candidates = candidates;
  }

  override loadReported({ endpoint, load }: LoadReport): void {
    this.#load.set(endpoint, (load.running + load.waiting) / Math.max(1, load.slots));
  }

  override cacheChanged(): void {
    // Routing ignores prefix affinity.
  }

  override offer(job: Job): void {
    const known = this.#tiers.get(job.tier);
    if (known) known.set(job.request, job);
    else this.#tiers.set(job.tier, new Map([[job.request, job]]));
  }

  override withdraw(request: RequestId): void {
    for (const jobs of this.#tiers.values()) jobs.delete(request);
  }

  override progressed(): void {
    // Progress is not used.
  }

  override ended(result: JobResult): void {
    this.#assignments.end(result.request);
  }

  override decide(now: number): Decision[] {
    const decisions: Decision[] = [];
    const tiers = [...this.#tiers].sort(([a], [b]) => a - b);
    const full = new PoolMap(() => ({ isFull: false }));
    for (const [, jobs] of tiers) {
      for (const job of jobs.values()) {
        const decision = this.#decideOne(job, full.get(job), now);
        if (!decision) continue;
        jobs.delete(job.request);
        decisions.push(decision);
      }
    }
    return decisions;
  }

  override nextAt(): number | undefined {
    let next = Infinity;
    for (const jobs of this.#tiers.values()) {
      for (const { expiresAt } of jobs.values()) next = Math.min(next, expiresAt);
    }
    return next === Infinity ? undefined : next;
  }

  override waitingByTier(): ReadonlyMap<number, number> {
    const tiers = [...this.#tiers].filter(([, jobs]) => jobs.size > 0);
    return new Map(tiers.map(([tier, jobs]) => [tier, jobs.size]));
  }

  /** Decides on one job. `pool` is shared within a round and marks that its endpoints are full. */
  #decideOne(job: Job, pool: { isFull: boolean }, now: number): Decision | undefined {
    const { request } = job;
    if (now >= job.expiresAt) {
      const code = requestCodes.overloaded;
      return { type: 'refuse', request, code, retryAfterMs: RETRY_AFTER_MS };
    }
    const endpoint = pool.isFull ? undefined : this.#leastLoaded(job);
    if (!endpoint) {
      if (job.avoid.length === 0) Object.assign(pool, { isFull: true });
      return undefined;
    }
    this.#assignments.start(request, endpoint);
    return { type: 'dispatch', request, endpoint };
  }

  #leastLoaded(job: Job): EndpointId | undefined {
    let best: EndpointId | undefined;
    let bestLoad = Infinity;
    for (const { endpoint, kind, targets, slots, isOpen } of this.#candidates) {
      const load = this.#load.get(endpoint) ?? 0;
      if (!isOpen || kind !== job.kind || !targets.includes(job.target) || load >= bestLoad)
        continue;
      if (job.avoid.includes(endpoint) || this.#assignments.countOf(endpoint) >= slots) continue;
      best = endpoint;
      bestLoad = load;
    }
    return best;
  }
}
