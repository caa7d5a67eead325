import type { Random } from '@berylwood/base';
import type { DataCentreId } from '@berylwood/schema';
import type { Job } from '../Job';
import { OutlierDetector } from '../health/OutlierDetector';
import type { Endpoint } from './Endpoint';

import { RendezvousHash } from './RendezvousHash';
import { SampledSet } from './SampledSet';

/** Time between judgements of slow endpoints, in milliseconds. */
const OUTLIER_CHECK_INTERVAL_MS = 500;

/** Draws before all free endpoints are looked through. */
const MAX_SAMPLES = 6;

const HIGHEST_TIER = 1;

/** Lowest tier of the configuration's schema. */
const LOWEST_TIER = 9;

/** Endpoints looked at for each running tier when lower work is to make room. */
const SAMPLES_PER_TIER = 4;

/**
 * The endpoints that serve one model or service, with an index of those that have room: a random
 * one is drawn in O(1), separately for the entry's own data centre and the others.
 * @internal
 */
export class EndpointPool {
  readonly outliers = new OutlierDetector<Endpoint>();

  readonly #dataCentre: DataCentreId | undefined;

  #members: readonly Endpoint[] = [];

  #rendezvous = new RendezvousHash<Endpoint>([], () => '');

  readonly #freeLocal = new SampledSet<Endpoint>();

  readonly #freeRemote = new SampledSet<Endpoint>();

  /** Slow endpoints that are due for a probe. */
  readonly #probes = new SampledSet<Endpoint>();

  /** Open endpoints by the lowest tier that runs there. */
  readonly #byRunningTier = Array.from(
    { length: LOWEST_TIER + 1 },
    () => new SampledSet<Endpoint>(),
  );

  /** Index in `byRunningTier` of each endpoint. */
  readonly #runningTiers = new Map<Endpoint, number>();

  #outliersCheckedAt = -Infinity;

  constructor(dataCentre: DataCentreId | undefined) {
    this.#dataCentre = dataCentre;
  }

  get members(): readonly Endpoint[] {
    return this.#members;
  }

  /** Whether an endpoint has room. */
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

  /** Brings the index up to date after a change of one endpoint. */
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

  /** Brings the index up to date with the passing of time; called a few times a second. */
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

  /** Whether the job may go to the endpoint, which has room. */
  accepts(endpoint: Endpoint, job: Job, now: number): boolean {
    if (!this.#freeLocal.has(endpoint) && !this.#freeRemote.has(endpoint)) return false;
    return isEligible(endpoint, job) && endpoint.load.availableSlots(job.tier, now) > 0;
  }

  /** The endpoint that all entries prefer for a prefix key. */
  preferredEndpoint(key: string): Endpoint | undefined {
    return this.#rendezvous.find(key);
  }

  /** A random endpoint with room that suits the job. */
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
   * An endpoint that runs lower work than the tier, the lowest first; a few random ones are looked
   * at for each running tier.
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

  /** A slow endpoint that is due for a probe and suits the job. */
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

/** The least loaded of a few random acceptable members. */
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

/** Whether the job may go to the endpoint at all. @internal */
export function isEligible(endpoint: Endpoint, job: Job): boolean {
  if (job.avoid.includes(endpoint.id)) return false;
  return !job.isSuspect || endpoint.load.suspects === 0;
}
