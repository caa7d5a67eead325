import { Random } from '@berylwood/base';
import type { CacheEvent, DataCentreId, EndpointId } from '@berylwood/schema';
import type { Candidate, JobResult, Job, LoadReport } from '../Job';
import { PoolMap, type PoolKey } from '../PoolMap';
import { Endpoint } from './Endpoint';
import { EndpointPool, isEligible } from './EndpointPool';
import { PrefixIndex, type PrefixMatch } from './PrefixIndex';

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
const PREFERRED_CACHED_FRACTION = 0.5;

/** Urgent sends beyond the credits between two reports, as a part of the endpoint's slots. */
const URGENT_FRACTION = 0.125;

/** An endpoint that a job may go to, with the part of the prompt that it is thought to hold. */
interface RouteOption {
  readonly endpoint: Endpoint;
  readonly cachedFraction: number;
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

  readonly #pools: PoolMap<EndpointPool>;

  readonly #prefixes = new PrefixIndex();

  #refreshedAt = -Infinity;

  constructor(options: RouterOptions = {}) {
    this.#options = { ...defaults, ...options };
    this.#random = new Random(this.#options.seed);
    this.#pools = new PoolMap(() => new EndpointPool(this.#options.dataCentre));
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

  /** Endpoints for a model or service; empty when none serves it. */
  pool(key: PoolKey): EndpointPool {
    return this.#pools.get(key);
  }

  /** Brings the state up to date with the passing of time. */
  refresh(now: number): void {
    if (now - this.#refreshedAt < REFRESH_INTERVAL_MS) return;
    this.#refreshedAt = now;
    for (const pool of this.#pools.values()) pool.refresh(now);
  }

  /** The best endpoint with room, or undefined when the job has to wait. */
  select(job: Job, now: number): EndpointId | undefined {
    const pool = this.pool(job);
    const probe = this.#selectProbe(pool, job, now);
    if (probe) return probe.id;
    const match = this.#prefixes.find(job.workspace, job.blocks);
    const sampledOptions = this.#sampleOptions(pool, job, now);
    const known = this.#prefixOptions(pool, job, match, now);
    return this.#cheapest(
      pool,
      job,
      known.length > 0 ? [...known, ...sampledOptions] : sampledOptions,
    )?.id;
  }

  /**
   * A full endpoint whose sidecar can make room by preempting work of a lower tier, or whose report
   * is too old to tell; undefined when none is known.
   */
  selectUrgent(job: Job, now: number): EndpointId | undefined {
    const chosen = this.pool(job).sampleLowerTier(
      job.tier,
      (endpoint) =>
        this.#allowsUrgent(endpoint, job, now) && !endpoint.load.hasWaitingAtOrAbove(job.tier),
      this.#random,
    );
    return chosen?.id;
  }

  /** The least loaded full endpoint where nothing waits, so that the job gets its next slot. */
  selectQueue(job: Job, now: number): EndpointId | undefined {
    let best: Endpoint | undefined;
    for (const endpoint of this.pool(job).members) {
      if (!this.#allowsUrgent(endpoint, job, now) || endpoint.load.hasQueue) continue;
      if (!best || endpoint.load.loadPerSlot() < best.load.loadPerSlot()) best = endpoint;
    }
    return best?.id;
  }

  /** Whether lower work than the job's is known to run or wait, or can not be ruled out. */
  mayHaveLowerTierWork(job: Job, now: number): boolean {
    return this.pool(job).members.some(
      ({ load }) => load.isOpen && (load.isStale(now) || load.hasLowerTierWork(job.tier, now)),
    );
  }

  /** Whether the job may go to the endpoint at all. */
  isEligible(job: Job, id: EndpointId): boolean {
    const endpoint = this.#endpoints.get(id);
    return endpoint !== undefined && isEligible(endpoint, job);
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
  ended(job: Job, id: EndpointId, outcome: JobResult['outcome'], now: number): void {
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
    if (endpoint) this.pool(job).outliers.observe(endpoint, cost, now);
  }

  /** A request that was sent because there was room has waited at the endpoint all the same. */
  recordQueueDelay(id: EndpointId): void {
    this.#endpoints.get(id)?.load.recordQueueDelay();
  }

  /** Endpoints that are thought to hold a part of the prompt, or else the prefix's home. */
  #prefixOptions(pool: EndpointPool, job: Job, match: PrefixMatch, now: number): RouteOption[] {
    if (job.blocks.length === 0) return [];
    if (match.length === 0) {
      const preferred = pool.preferredEndpoint(`${job.workspace} ${job.blocks[0]}`);
      return preferred && pool.accepts(preferred, job, now)
        ? [{ endpoint: preferred, cachedFraction: PREFERRED_CACHED_FRACTION }]
        : [];
    }
    const options: RouteOption[] = [];
    for (const id of match.endpoints) {
      const endpoint = this.#endpoints.get(id);
      if (!endpoint || !pool.accepts(endpoint, job, now)) continue;
      options.push({ endpoint, cachedFraction: match.length / job.blocks.length });
    }
    return options;
  }

  /** Random endpoints with room: two near ones and a far one, or two far ones. */
  #sampleOptions(pool: EndpointPool, job: Job, now: number): RouteOption[] {
    const local = pool.sampleFree(job, true, this.#random, now);
    const second = pool.sampleFree(job, local !== undefined, this.#random, now);
    const remote = pool.sampleFree(job, false, this.#random, now);
    const options: RouteOption[] = [];
    if (local) options.push({ endpoint: local, cachedFraction: 0 });
    if (second) options.push({ endpoint: second, cachedFraction: 0 });
    if (remote) options.push({ endpoint: remote, cachedFraction: 0 });
    return options;
  }

  /** The first of the cheapest options. */
  #cheapest(pool: EndpointPool, job: Job, options: readonly RouteOption[]): Endpoint | undefined {
    let best: Endpoint | undefined;
    let bestCost = Infinity;
    for (const { endpoint, cachedFraction } of options) {
      const cost = this.#cost(pool, endpoint, job.promptTokens * (1 - cachedFraction));
      if (cost >= bestCost) continue;
      best = endpoint;
      bestCost = cost;
    }
    return best;
  }

  #selectProbe(pool: EndpointPool, job: Job, now: number): Endpoint | undefined {
    if (!job.idempotent || job.isSuspect) return undefined;
    const probe = pool.sampleProbe(job, this.#random);
    if (!probe) return undefined;
    pool.outliers.probed(probe, now);
    pool.update(probe, now);
    return probe;
  }

  #allowsUrgent(endpoint: Endpoint, job: Job, now: number): boolean {
    const { load, breaker } = endpoint;
    if (!load.isOpen || !isEligible(endpoint, job) || !breaker.allows(now)) return false;
    return load.urgentSends(job.tier) < Math.ceil(URGENT_FRACTION * load.slots);
  }

  /** Expected time to the first token, in milliseconds. */
  #cost(pool: EndpointPool, endpoint: Endpoint, uncachedTokens: number): number {
    const { prefillRate, loadCostMs, remoteCostMs } = this.#options;
    const prefillTokens = uncachedTokens + (endpoint.load.load?.prefillTokens ?? 0);
    const remoteMs = pool.isLocal(endpoint) ? 0 : remoteCostMs;
    return (
      (prefillTokens / prefillRate) * 1000 + endpoint.load.loadPerSlot() * loadCostMs + remoteMs
    );
  }

  #update(endpoint: Endpoint, now: number): void {
    for (const pool of endpoint.pools) pool.update(endpoint, now);
  }

  #rebuildPools(now: number): void {
    const members = new Map<EndpointPool, Endpoint[]>();
    for (const pool of this.#pools.values()) members.set(pool, []);
    for (const endpoint of this.#endpoints.values()) {
      const { kind, targets } = endpoint.load.candidate;
      endpoint.pools = targets.map((target) => this.#pools.get({ kind, target }));
      for (const pool of endpoint.pools) {
        const serving = members.get(pool);
        if (serving) serving.push(endpoint);
        else members.set(pool, [endpoint]);
      }
    }
    for (const [pool, serving] of members) pool.setMembers(serving, now);
  }
}
