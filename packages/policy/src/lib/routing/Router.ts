import { Random } from '@berylwood/base';
import type { CacheEvent, DataCentreId, EndpointId } from '@berylwood/schema';
import type { Candidate, Ending, Job, LoadReport } from '../Job';
import { Endpoint } from './Endpoint';
import { EndpointPool, isSuitable } from './EndpointPool';
import { PrefixIndex } from './PrefixIndex';

/** Options of a router. @public */
export interface RouterOptions {
  /** The entry's own data centre, which is preferred; none is when left out. */
  readonly dataCentre?: DataCentreId;
  /** Seed of the random choices; entries use different ones, so that they do not herd. Default 1. */
  readonly seed?: number;
  /** Cost of another data centre, in milliseconds. Default 5. */
  readonly remoteCostMs?: number;
  /** Prompt tokens that an endpoint reads a second. Default 8000. */
  readonly prefillRate?: number;
  /** Cost of one more request per slot at an endpoint, in milliseconds. Default 200. */
  readonly loadCostMs?: number;
}

const defaults = { seed: 1, remoteCostMs: 5, prefillRate: 8_000, loadCostMs: 200 };

/** Time between updates of what depends on time alone, in milliseconds. */
const REFRESH_INTERVAL_MS = 200;

/** Part of a prompt that its home may hold when nothing is known. */
const HOME_PART = 0.5;

/** Urgent sends beyond the credits between two reports, as a part of the endpoint's slots. */
const URGENT_PART = 0.25;

/** Name of the pool of endpoints that a job can use. @internal */
export function poolName({ kind, target }: Pick<Job, 'kind' | 'target'>): string {
  return `${kind}:${target}`;
}

/**
 * Chooses endpoints: the cheapest of two random ones with room, of those thought to hold the prompt's
 * prefix, and of the prefix's home. The cost is the expected time to the first token.
 * @public
 */
export class Router {
  readonly #options: RouterOptions & typeof defaults;

  readonly #random: Random;

  readonly #endpoints = new Map<EndpointId, Endpoint>();

  readonly #pools = new Map<string, EndpointPool>();

  readonly #prefixes = new PrefixIndex();

  #refreshedAt = -Infinity;

  constructor(options: RouterOptions = {}) {
    this.#options = { ...defaults, ...options };
    this.#random = new Random(this.#options.seed);
  }

  /** Takes in the present endpoints; a new incarnation starts with a clean record. */
  setCandidates(candidates: readonly Candidate[], now: number): void {
    const present = new Map(candidates.map((candidate) => [candidate.endpoint, candidate]));
    for (const [id, { load }] of this.#endpoints) {
      if (present.get(id)?.incarnation !== load.candidate.incarnation) this.#endpoints.delete(id);
    }
    for (const candidate of candidates) {
      const known = this.#endpoints.get(candidate.endpoint);
      if (known) known.load.candidate = candidate;
      else this.#endpoints.set(candidate.endpoint, new Endpoint(candidate));
    }
    this.#rebuildPools(now);
  }

  reported({ endpoint, load, at }: LoadReport): void {
    const known = this.#endpoints.get(endpoint);
    if (!known) return;
    known.load.reported(load, at);
    this.#update(known, at);
  }

  cacheChanged(endpoint: EndpointId, events: readonly CacheEvent[]): void {
    this.#prefixes.changed(endpoint, events);
  }

  /** Pool of the endpoints for a model or service; empty when none serves it. */
  pool(name: string): EndpointPool {
    const known = this.#pools.get(name);
    if (known) return known;
    const pool = new EndpointPool(this.#options.dataCentre);
    this.#pools.set(name, pool);
    return pool;
  }

  /** Brings the state up to date with the passing of time. */
  refresh(now: number): void {
    if (now - this.#refreshedAt < REFRESH_INTERVAL_MS) return;
    this.#refreshedAt = now;
    for (const pool of this.#pools.values()) pool.refresh(now);
  }

  /** The best endpoint with room, or undefined when the job has to wait. */
  select(job: Job, now: number): EndpointId | undefined {
    const pool = this.pool(poolName(job));
    const probe = this.#selectProbe(pool, job, now);
    if (probe) return probe.id;
    const match = this.#prefixes.find(job.workspace, job.blocks);
    const matchedPart = match.length / Math.max(1, job.blocks.length);
    let best: Endpoint | undefined;
    let bestCost = Infinity;
    const consider = (endpoint: Endpoint | undefined, cachedPart: number) => {
      if (!endpoint || endpoint === best) return;
      const cost = this.#cost(pool, endpoint, job.promptTokens * (1 - cachedPart));
      if (cost >= bestCost) return;
      best = endpoint;
      bestCost = cost;
    };
    for (const id of match.endpoints) {
      const endpoint = this.#endpoints.get(id);
      if (endpoint && pool.accepts(endpoint, job, now)) consider(endpoint, matchedPart);
    }
    if (match.length === 0 && job.blocks.length > 0) {
      const home = pool.home(`${job.workspace} ${job.blocks[0]}`);
      if (home && pool.accepts(home, job, now)) consider(home, HOME_PART);
    }
    consider(pool.draw(job, true, this.#random, now), 0);
    consider(pool.draw(job, true, this.#random, now), 0);
    consider(pool.draw(job, false, this.#random, now), 0);
    if (!best) consider(pool.draw(job, false, this.#random, now), 0);
    return best?.id;
  }

  /**
   * A full endpoint whose sidecar can make room by preempting work of a lower tier, or whose report
   * is too old to tell; undefined when none is known.
   */
  selectUrgent(job: Job, now: number): EndpointId | undefined {
    const isAcceptable = (endpoint: Endpoint) =>
      this.#mayForce(endpoint, job, now) && !endpoint.load.isClaimed(job.tier);
    return this.pool(poolName(job)).drawLower(job.tier, isAcceptable, this.#random)?.id;
  }

  /** The least loaded full endpoint where nothing waits, so that the job gets its next slot. */
  selectQueue(job: Job, now: number): EndpointId | undefined {
    let best: Endpoint | undefined;
    for (const endpoint of this.pool(poolName(job)).members) {
      if (!this.#mayForce(endpoint, job, now) || endpoint.load.hasQueue) continue;
      if (!best || endpoint.load.perSlot() < best.load.perSlot()) best = endpoint;
    }
    return best?.id;
  }

  /** Whether lower work than the job's is known to run or wait, or can not be ruled out. */
  mayHaveLower(job: Job, now: number): boolean {
    return this.pool(poolName(job)).members.some(
      ({ load }) => load.isOpen && (load.isStale(now) || load.hasLower(job.tier, now)),
    );
  }

  /** The job was sent to the endpoint. */
  sent(job: Job, id: EndpointId, isUrgent: boolean, now: number): void {
    const endpoint = this.#endpoints.get(id);
    if (!endpoint) return;
    endpoint.load.sent(job.request, job.tier, isUrgent, now);
    if (job.isSuspect) endpoint.load.suspects += 1;
    endpoint.breaker.sent();
    this.#prefixes.sent(job.workspace, job.blocks, id);
    this.#update(endpoint, now);
  }

  /** A request that was sent to the endpoint has left it. */
  ended(job: Job, id: EndpointId, outcome: Ending['outcome'], now: number): void {
    const endpoint = this.#endpoints.get(id);
    if (!endpoint) return;
    endpoint.load.ended(job.request, outcome);
    if (job.isSuspect) endpoint.load.suspects = Math.max(0, endpoint.load.suspects - 1);
    if (outcome === 'completed') endpoint.breaker.succeeded();
    else if (outcome === 'failed') endpoint.breaker.failed(now);
    else endpoint.breaker.abandoned();
    this.#update(endpoint, now);
  }

  /** Takes in the cost of a piece of work, such as milliseconds per token, to find slow endpoints. */
  observed(job: Job, id: EndpointId, cost: number, now: number): void {
    const endpoint = this.#endpoints.get(id);
    if (endpoint) this.pool(poolName(job)).slow.observe(endpoint, cost, now);
  }

  #selectProbe(pool: EndpointPool, job: Job, now: number): Endpoint | undefined {
    if (!job.idempotent || job.isSuspect) return undefined;
    const probe = pool.drawProbe(job, this.#random);
    if (!probe) return undefined;
    pool.slow.probed(probe, now);
    return probe;
  }

  #mayForce(endpoint: Endpoint, job: Job, now: number): boolean {
    const { load, breaker } = endpoint;
    if (!load.isOpen || !isSuitable(endpoint, job) || !breaker.allows(now)) return false;
    return load.urgentSends(job.tier) < Math.ceil(URGENT_PART * load.slots);
  }

  /** Expected time to the first token, in milliseconds. */
  #cost(pool: EndpointPool, endpoint: Endpoint, uncachedTokens: number): number {
    const { prefillRate, loadCostMs, remoteCostMs } = this.#options;
    const prefillTokens = uncachedTokens + (endpoint.load.load?.prefillTokens ?? 0);
    const remoteMs = pool.isNear(endpoint) ? 0 : remoteCostMs;
    return (prefillTokens / prefillRate) * 1000 + endpoint.load.perSlot() * loadCostMs + remoteMs;
  }

  #update(endpoint: Endpoint, now: number): void {
    const { kind, targets } = endpoint.load.candidate;
    for (const target of targets) this.pool(poolName({ kind, target })).update(endpoint, now);
  }

  #rebuildPools(now: number): void {
    const members = new Map<string, Endpoint[]>();
    for (const endpoint of this.#endpoints.values()) {
      const { kind, targets } = endpoint.load.candidate;
      for (const target of targets) {
        const name = poolName({ kind, target });
        const serving = members.get(name);
        if (serving) serving.push(endpoint);
        else members.set(name, [endpoint]);
      }
    }
    for (const name of members.keys()) this.pool(name);
    for (const [name, pool] of this.#pools) pool.setMembers(members.get(name) ?? [], now);
  }
}
