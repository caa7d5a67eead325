import { Random } from '@berylwood/base';
import type { CacheEvent, DataCentreId, EndpointId } from '@berylwood/schema';
import type { Candidate, JobResult, Job, LoadReport } from '../Job';
import { PoolMap, type PoolKey } from '../PoolMap';
import { Endpoint } from './Endpoint';
import { EndpointPool, isEligible } from './EndpointPool';
import { PrefixIndex, type PrefixMatch } from './PrefixIndex';

/** Options of a router. @public */
export interface RouterOptions {
  /** Data centre of the entry, whose endpoints are preferred. Without it, none are. */
  readonly dataCentre?: DataCentreId;
  /** Random seed. It differs between entries, so that their choices do not herd. Default 1. */
  readonly seed?: number;
  /** Cost of sending to another data centre, in milliseconds. Default 5. */
  readonly remoteCostMs?: number;
  /** Prefill rate of an endpoint, in prompt tokens per second. Default 8000. */
  readonly prefillRate?: number;
  /** Cost of a load of one request per slot at an endpoint, in milliseconds. Default 200. */
  readonly loadCostMs?: number;
}

const defaults = { seed: 1, remoteCostMs: 5, prefillRate: 8_000, loadCostMs: 200 };

/** Interval between updates of state that depends on time, in milliseconds. */
const REFRESH_INTERVAL_MS = 200;

/** Fraction of a prompt assumed cached at its preferred endpoint without a match in the index. */
const PREFERRED_CACHED_FRACTION = 0.5;

/**
 * Limit on urgent requests sent beyond the credits between two load reports, as a fraction of the
 * endpoint's slots.
 */
const URGENT_FRACTION = 0.125;

/** An endpoint that can take a job, with the fraction of the prompt expected to be cached there. */
interface RouteOption {
  readonly endpoint: Endpoint;
  readonly cachedFraction: number;
}

/**
 * Chooses endpoints by expected time to the first token. The options are a few random endpoints with
 * free slots, and the endpoints expected to have a prefix of the prompt cached. If none is known, the
 * preferred endpoint of the prefix is an option instead.
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

  /** Sets the current endpoints. The state of an endpoint is reset when its incarnation changes. */
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

  /** Updates state that depends on time. */
  refresh(now: number): void {
    if (now - this.#refreshedAt < REFRESH_INTERVAL_MS) return;
    this.#refreshedAt = now;
    for (const pool of this.#pools.values()) pool.refresh(now);
  }

  /** The best endpoint with a free slot, or undefined if the job has to wait. */
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
   * A full endpoint that runs work of a lower tier, which its sidecar can preempt for the job. If the
   * load report is stale, this entry's own requests there are considered instead. Undefined if no such
   * endpoint is known.
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

  /** The least loaded full endpoint with an empty queue, where the job gets the next free slot. */
  selectQueue(job: Job, now: number): EndpointId | undefined {
    let best: Endpoint | undefined;
    for (const endpoint of this.pool(job).members) {
      if (!this.#allowsUrgent(endpoint, job, now) || endpoint.load.hasQueue) continue;
      if (!best || endpoint.load.loadPerSlot() < best.load.loadPerSlot()) best = endpoint;
    }
    return best?.id;
  }

  /** Whether work of a lower tier runs or waits, or cannot be ruled out because a report is stale. */
  mayHaveLowerTierWork(job: Job, now: number): boolean {
    return this.pool(job).members.some(
      ({ load }) => load.isOpen && (load.isStale(now) || load.hasLowerTierWork(job.tier, now)),
    );
  }

  /** Whether the job may be sent to the endpoint, regardless of load. */
  isEligible(job: Job, id: EndpointId): boolean {
    const endpoint = this.#endpoints.get(id);
    return endpoint !== undefined && isEligible(endpoint, job);
  }

  /** Records that the job was sent to the endpoint. */
  sent(job: Job, id: EndpointId, isUrgent: boolean, now: number): void {
    const endpoint = this.#endpoints.get(id);
    if (!endpoint) return;
    endpoint.load.sent(job.request, job.tier, isUrgent, now);
    if (job.isSuspect) endpoint.load.suspects += 1;
    endpoint.breaker.sent();
    this.#prefixes.sent(job.workspace, job.blocks, id);
    this.#update(endpoint, now);
  }

  /** Records that a request sent to the endpoint has ended. */
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

  /** Records an observed cost, such as milliseconds per token, for outlier detection. */
  observed(job: Job, id: EndpointId, cost: number, now: number): void {
    const endpoint = this.#endpoints.get(id);
    if (endpoint) this.pool(job).outliers.observe(endpoint, cost, now);
  }

  /** Records that a request was queued at the endpoint although a slot should have been free. */
  recordQueueDelay(id: EndpointId): void {
    this.#endpoints.get(id)?.load.recordQueueDelay();
  }

  /** Endpoints expected to have a prefix of the prompt cached, else its preferred endpoint. */
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

  /** Random endpoints with free slots: two local ones and a remote one, or else two remote ones. */
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

  /** The cheapest option; the first one on a tie. */
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
