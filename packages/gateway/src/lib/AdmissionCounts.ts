import { DecayedRate } from '@berylwood/policy';
import { MAX_ADMISSION_POOLS, type AdmissionReport, type DemandMessage } from './admissionMessages';
import type { PoolName } from './ids';
import { mergeDemands } from './mergeDemands';

/** Time constant of the rates that are asked for and admitted, in milliseconds: short beside a burst. */
const ASKED_TIME_CONSTANT_MS = 1000;

/** The same for the served rate, of which the estimate of the capacity takes a median. */
const SERVED_TIME_CONSTANT_MS = 500;

/** Demands below this rate are forgotten, in tokens per second. */
const MIN_TOKENS_PER_S = 1;

/** Requests that are counted together, and the prompt tokens of one of them. @internal */
export interface CountedRequest {
  readonly pool: PoolName;
  /** Rank of the route; 0 is the most urgent. */
  readonly rank: number;
  readonly workspace: string;
  readonly tokens: number;
  /** Whether the caller has tried before. */
  readonly isReturning: boolean;
}

class DemandCount {
  readonly first = new DecayedRate(ASKED_TIME_CONSTANT_MS);

  readonly returning = new DecayedRate(ASKED_TIME_CONSTANT_MS);

  readonly admitted = new DecayedRate(ASKED_TIME_CONSTANT_MS);

  readonly served = new DecayedRate(SERVED_TIME_CONSTANT_MS);

  readonly rank: number;

  readonly workspace: string;

  constructor({ rank, workspace }: CountedRequest) {
    this.rank = rank;
    this.workspace = workspace;
  }

  messageAt(now: number): DemandMessage {
    const { rank, workspace, first, returning, admitted, served } = this;
    const rates = [first, returning, admitted, served].map((rate) => Math.round(rate.perS(now)));
    const [firstPerS = 0, returnPerS = 0, admittedPerS = 0, servedPerS = 0] = rates;
    return [rank, workspace, firstPerS, returnPerS, admittedPerS, servedPerS, 1];
  }
}

/** Prompt tokens that this instance was asked for, admitted and served, by pool, rank and workspace. @internal */
export class AdmissionCounts {
  readonly #pools = new Map<PoolName, Map<string, DemandCount>>();

  asked(request: CountedRequest, now: number): void {
    const count = this.#countOf(request);
    (request.isReturning ? count.returning : count.first).add(request.tokens, now);
  }

  admitted(request: CountedRequest, now: number): void {
    this.#countOf(request).admitted.add(request.tokens, now);
  }

  served(request: CountedRequest, now: number): void {
    this.#countOf(request).served.add(request.tokens, now);
  }

  /** The report of one pool. */
  reportOf(pool: PoolName, now: number): AdmissionReport {
    return [pool, mergeDemands(this.#messagesOf(pool, now))];
  }

  /** The reports of all pools with requests. */
  reports(now: number): AdmissionReport[] {
    return [...this.#pools.keys()]
      .map((pool) => this.reportOf(pool, now))
      .filter(([, demands]) => demands.length > 0)
      .slice(0, MAX_ADMISSION_POOLS);
  }

  #messagesOf(pool: PoolName, now: number): DemandMessage[] {
    const counts = this.#pools.get(pool);
    if (!counts) return [];
    const messages: DemandMessage[] = [];
    for (const [key, count] of counts) {
      const message = count.messageAt(now);
      const [, , ...rates] = message;
      if (rates.slice(0, -1).some((rate) => rate >= MIN_TOKENS_PER_S)) messages.push(message);
      else counts.delete(key);
    }
    // Pools that no configuration names any longer leave nothing behind.
    if (counts.size === 0) this.#pools.delete(pool);
    return messages;
  }

  #countOf(request: CountedRequest): DemandCount {
    const { pool, rank, workspace } = request;
    const counts = this.#pools.get(pool) ?? new Map<string, DemandCount>();
    this.#pools.set(pool, counts);
    const key = `${rank} ${workspace}`;
    const count = counts.get(key) ?? new DemandCount(request);
    counts.set(key, count);
    return count;
  }
}
