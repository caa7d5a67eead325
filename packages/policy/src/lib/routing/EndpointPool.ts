import type { Random } from '@berylwood/base';
import type { DataCentreId } from '@berylwood/schema';
import type { Job } from '../Job';
import { OutlierDetector } from '../health/OutlierDetector';
import type { Endpoint } from './Endpoint';

import { RendezvousHash } from './RendezvousHash';
import { SampledSet } from './SampledSet';

/** Time between judgements of slow endpoints, in milliseconds. */
const JUDGE_INTERVAL_MS = 500;

/** Draws before all free endpoints are looked through. */
const MAX_DRAWS = 6;

const HIGHEST_TIER = 1;

/** Lowest tier of the configuration's schema. */
const LOWEST_TIER = 9;

/** Endpoints looked at for each running tier when lower work is to make room. */
const MAX_URGENT_DRAWS = 4;

/**
 * The endpoints that serve one model or service, with an index of those that have room: a random
 * one is drawn in O(1), separately for the entry's own data centre and the others.
 * @internal
 */
export class EndpointPool {
  readonly slow = new OutlierDetector<Endpoint>();

  readonly #dataCentre: DataCentreId | undefined;

  #members: readonly Endpoint[] = [];

  #homes = new RendezvousHash<Endpoint>([], () => '');

  readonly #near = new SampledSet<Endpoint>();

  readonly #far = new SampledSet<Endpoint>();

  /** Slow endpoints that are due for a probe. */
  readonly #probes = new SampledSet<Endpoint>();

  /** Open endpoints by the lowest tier that runs there. */
  readonly #byRunningTier = Array.from(
    { length: LOWEST_TIER + 1 },
    () => new SampledSet<Endpoint>(),
  );

  /** Index in `byRunningTier` of each endpoint. */
  readonly #runningTiers = new Map<Endpoint, number>();

  #judgedAt = -Infinity;

  constructor(dataCentre: DataCentreId | undefined) {
    this.#dataCentre = dataCentre;
  }

  get members(): readonly Endpoint[] {
    return this.#members;
  }

  /** Whether an endpoint has room. */
  get hasFree(): boolean {
    return this.#near.size + this.#far.size > 0;
  }

  get hasOpen(): boolean {
    return this.#members.some(({ load }) => load.isOpen);
  }

  setMembers(members: readonly Endpoint[], now: number): void {
    const present = new Set(members);
    for (const old of this.#members) {
      if (present.has(old)) continue;
      this.slow.forget(old);
      for (const set of [this.#near, this.#far, this.#probes]) set.set(old, false);
      this.#setRunningTier(old, 0);
      this.#runningTiers.delete(old);
    }
    const isSame =
      present.size === this.#members.length && this.#members.every((old) => present.has(old));
    this.#members = members;
    if (!isSame) this.#homes = new RendezvousHash(members, ({ id }) => id);
    for (const member of members) this.update(member, now);
  }

  /** Brings the index up to date after a change of one endpoint. */
  update(endpoint: Endpoint, now: number): void {
    const hasRoom = endpoint.load.room(HIGHEST_TIER, now) > 0 && endpoint.breaker.allows(now);
    const isSlow = this.slow.isEjected(endpoint);
    const isNear = this.isNear(endpoint);
    this.#near.set(endpoint, hasRoom && !isSlow && isNear);
    this.#far.set(endpoint, hasRoom && !isSlow && !isNear);
    this.#probes.set(endpoint, hasRoom && isSlow && this.slow.isProbeDue(endpoint, now));
    this.#setRunningTier(endpoint, endpoint.load.isOpen ? endpoint.load.lowestRunningTier(now) : 0);
  }

  /** Brings the index up to date with the passing of time; called a few times a second. */
  refresh(now: number): void {
    if (now - this.#judgedAt >= JUDGE_INTERVAL_MS) {
      this.#judgedAt = now;
      this.slow.judge(now);
    }
    for (const member of this.#members) this.update(member, now);
  }

  isNear(endpoint: Endpoint): boolean {
    return (
      this.#dataCentre === undefined || endpoint.load.candidate.dataCentre === this.#dataCentre
    );
  }

  /** Whether the job may go to the endpoint, which has room. */
  accepts(endpoint: Endpoint, job: Job, now: number): boolean {
    if (!this.#near.has(endpoint) && !this.#far.has(endpoint)) return false;
    return isSuitable(endpoint, job) && endpoint.load.room(job.tier, now) > 0;
  }

  /** The endpoint that all entries prefer for a prefix key. */
  home(key: string): Endpoint | undefined {
    return this.#homes.find(key);
  }

  /** A random endpoint with room that suits the job. */
  draw(job: Job, isNear: boolean, random: Random, now: number): Endpoint | undefined {
    const set = isNear ? this.#near : this.#far;
    for (let i = 0; i < MAX_DRAWS; i += 1) {
      const drawn = set.sample(random);
      if (!drawn || this.accepts(drawn, job, now)) return drawn;
    }
    for (const endpoint of set) if (this.accepts(endpoint, job, now)) return endpoint;
    return undefined;
  }

  /**
   * An endpoint that runs lower work than the tier, the lowest first; a few random ones are looked
   * at for each running tier.
   */
  drawLower(
    tier: number,
    isAcceptable: (endpoint: Endpoint) => boolean,
    random: Random,
  ): Endpoint | undefined {
    for (let lower = LOWEST_TIER; lower > tier; lower -= 1) {
      const set = this.#byRunningTier[lower] as SampledSet<Endpoint>;
      const best = drawLeastLoaded(set, isAcceptable, random);
      if (best) return best;
    }
    return undefined;
  }

  /** A slow endpoint that is due for a probe and suits the job. */
  drawProbe(job: Job, random: Random): Endpoint | undefined {
    const drawn = this.#probes.sample(random);
    return drawn && isSuitable(drawn, job) ? drawn : undefined;
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
function drawLeastLoaded(
  set: SampledSet<Endpoint>,
  isAcceptable: (endpoint: Endpoint) => boolean,
  random: Random,
): Endpoint | undefined {
  if (set.size === 0) return undefined;
  let best: Endpoint | undefined;
  for (let i = 0; i < MAX_URGENT_DRAWS; i += 1) {
    const drawn = set.sample(random) as Endpoint;
    if (!isAcceptable(drawn)) continue;
    if (!best || drawn.load.perSlot() < best.load.perSlot()) best = drawn;
  }
  return best;
}

/** Whether the job may go to the endpoint at all. @internal */
export function isSuitable(endpoint: Endpoint, job: Job): boolean {
  if (job.avoid.includes(endpoint.id)) return false;
  return !job.isSuspect || endpoint.load.suspects === 0;
}
