import type { Random } from '@berylwood/base';
import type { DataCentreId } from '@berylwood/schema';
import type { Job } from '../Job';
import { OutlierDetector } from '../health/OutlierDetector';
import type { Endpoint } from './Endpoint';

import { RendezvousHash } from './RendezvousHash';
import { SampledSet } from './SampledSet';

/** Interval of outlier detection, in milliseconds. */
const OUTLIER_CHECK_INTERVAL_MS = 500;

/** Random samples before falling back to a scan of all free endpoints. */
const MAX_SAMPLES = 6;

const HIGHEST_TIER = 1;

/** Lowest tier that the configuration schema allows. */
const LOWEST_TIER = 9;

/** Endpoints sampled per running tier when searching for lower-tier work to preempt. */
const SAMPLES_PER_TIER = 4;

/**
 * The endpoints that serve one model or service, with an index of the free ones: those with an
 * available slot whose circuit breaker allows a request and that are not ejected as outliers. A random
 * free endpoint is sampled in O(1), either from the entry's own data centre (local) or from the other
 * ones (remote).
 * @internal
 */
export class EndpointPool {
  readonly outliers = new OutlierDetector<Endpoint>();

  readonly #dataCentre: DataCentreId | undefined;

  #members: readonly Endpoint[] = [];

  #rendezvous = new RendezvousHash<Endpoint>([], () => '');

  readonly #freeLocal = new SampledSet<Endpoint>();

  readonly #freeRemote = new SampledSet<Endpoint>();

  /** Ejected endpoints that are due for a probe. */
  readonly #probes = new SampledSet<Endpoint>();

  /** Open endpoints, indexed by the lowest tier that runs there. */
  readonly #byRunningTier = Array.from(
    { length: LOWEST_TIER + 1 },
    () => new SampledSet<Endpoint>(),
  );

  /** Index of each endpoint in `#byRunningTier`. */
  readonly #runningTiers = new Map<Endpoint, number>();

  #outliersCheckedAt = -Infinity;

  constructor(dataCentre: DataCentreId | undefined) {
    this.#dataCentre = dataCentre;
  }

  get members(): readonly Endpoint[] {
    return this.#members;
  }

  /** Whether any endpoint is free. */
  get hasFree(): boolean {
    return this.#freeLocal.size + this.#freeRemote.size > 0;
  }

  get hasOpen(): boolean {
    return this.#members.some(({ load }) => load.isOpen);
  }

  setMembers(members: readonly Endpoint[], now: number): void {
    const present = new Set(members);
    for (const old of this.#members) {
      if (present.has(old)) continue;
      this.outliers.delete(old);
      for (const set of [this.#freeLocal, this.#freeRemote, this.#probes]) set.set(old, false);
      this.#setRunningTier(old, 0);
      this.#runningTiers.delete(old);
    }
    const isUnchanged =
      present.size === this.#members.length && this.#members.every((old) => present.has(old));
    this.#members = members;
    if (!isUnchanged) this.#rendezvous = new RendezvousHash(members, ({ id }) => id);
    for (const member of members) this.update(member, now);
  }

  /** Updates the index after a change of one endpoint. */
  update(endpoint: Endpoint, now: number): void {
    const hasRoom =
      endpoint.load.availableSlots(HIGHEST_TIER, now) > 0 && endpoint.breaker.allows(now);
    const isEjected = this.outliers.isEjected(endpoint);
    const isLocal = this.isLocal(endpoint);
    this.#freeLocal.set(endpoint, hasRoom && !isEjected && isLocal);
    this.#freeRemote.set(endpoint, hasRoom && !isEjected && !isLocal);
    this.#probes.set(endpoint, hasRoom && isEjected && this.outliers.isProbeDue(endpoint, now));
    this.#setRunningTier(endpoint, endpoint.load.isOpen ? endpoint.load.lowestRunningTier(now) : 0);
  }

  /** Updates the parts of the index that depend on time. Called a few times per second. */
  refresh(now: number): void {
    if (now - this.#outliersCheckedAt >= OUTLIER_CHECK_INTERVAL_MS) {
      this.#outliersCheckedAt = now;
      this.outliers.evaluate(now);
    }
    for (const member of this.#members) this.update(member, now);
  }

  isLocal(endpoint: Endpoint): boolean {
    return (
      this.#dataCentre === undefined || endpoint.load.candidate.dataCentre === this.#dataCentre
    );
  }

  /** Whether the endpoint is free, eligible for the job and has a slot available for its tier. */
  accepts(endpoint: Endpoint, job: Job, now: number): boolean {
    if (!this.#freeLocal.has(endpoint) && !this.#freeRemote.has(endpoint)) return false;
    return isEligible(endpoint, job) && endpoint.load.availableSlots(job.tier, now) > 0;
  }

  /** The endpoint that all entries prefer for a prefix key, by rendezvous hashing. */
  preferredEndpoint(key: string): Endpoint | undefined {
    return this.#rendezvous.find(key);
  }

  /** A random free endpoint that is eligible for the job. */
  sampleFree(job: Job, isLocal: boolean, random: Random, now: number): Endpoint | undefined {
    const set = isLocal ? this.#freeLocal : this.#freeRemote;
    for (let i = 0; i < MAX_SAMPLES; i += 1) {
      const sampled = set.sample(random);
      if (!sampled || this.accepts(sampled, job, now)) return sampled;
    }
    for (const endpoint of set) if (this.accepts(endpoint, job, now)) return endpoint;
    return undefined;
  }

  /**
   * An endpoint that runs work of a lower tier than `tier`, starting with the lowest tier. For each
   * running tier, a few endpoints are sampled and the least loaded acceptable one is returned.
   */
  sampleLowerTier(
    tier: number,
    isAcceptable: (endpoint: Endpoint) => boolean,
    random: Random,
  ): Endpoint | undefined {
    for (let lower = LOWEST_TIER; lower > tier; lower -= 1) {
      const set = this.#byRunningTier[lower] as SampledSet<Endpoint>;
      const best = sampleLeastLoaded(set, isAcceptable, random);
      if (best) return best;
    }
    return undefined;
  }

  /** An ejected endpoint that is due for a probe and eligible for the job. */
  sampleProbe(job: Job, random: Random): Endpoint | undefined {
    const sampled = this.#probes.sample(random);
    return sampled && isEligible(sampled, job) ? sampled : undefined;
  }

  #setRunningTier(endpoint: Endpoint, tier: number): void {
    const known = this.#runningTiers.get(endpoint) ?? 0;
    if (known === tier) return;
    this.#byRunningTier[known]?.set(endpoint, false);
    if (tier > 0) this.#byRunningTier[tier]?.set(endpoint, true);
    this.#runningTiers.set(endpoint, tier);
  }
}

/** The least loaded acceptable endpoint of a few random samples. */
function sampleLeastLoaded(
  set: SampledSet<Endpoint>,
  isAcceptable: (endpoint: Endpoint) => boolean,
  random: Random,
): Endpoint | undefined {
  if (set.size === 0) return undefined;
  let best: Endpoint | undefined;
  for (let i = 0; i < SAMPLES_PER_TIER; i += 1) {
    const sampled = set.sample(random) as Endpoint;
    if (!isAcceptable(sampled)) continue;
    if (!best || sampled.load.loadPerSlot() < best.load.loadPerSlot()) best = sampled;
  }
  return best;
}

/**
 * Whether the job may be sent to the endpoint, regardless of load: the endpoint is not on the job's
 * avoid list, and a suspect job does not share an endpoint with another suspect.
 * @internal
 */
export function isEligible(endpoint: Endpoint, job: Job): boolean {
  if (job.avoid.includes(endpoint.id)) return false;
  return !job.isSuspect || endpoint.load.suspects === 0;
}
