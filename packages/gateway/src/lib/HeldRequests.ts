import {
  DisposableStore,
  Failure,
  asId,
  type Journal,
  type Metrics,
  type Timer,
} from '@berylwood/base';
import { UrgencyQueue, type RankedItem } from '@berylwood/policy';
import { gatewayCodes } from './codes';
import type { Endpoint } from './Endpoint';
import type { EndpointDirectory } from './EndpointDirectory';
import { HeldRequestLog } from './HeldRequestLog';
import type { PoolName } from './ids';
import type { ResolvedRequest } from './resolveRequest';
import { shareOf, sumOpenLimits } from './shareOf';

/** Fraction of the objective that a request may wait for an endpoint. */
const WAIT_OBJECTIVES = 0.5;

/** Time that any request may wait, in milliseconds: some rounds of the allocation of permits. */
const MIN_WAIT_MS = 250;

/** Fraction of its remaining time that a request may wait at most. */
const MAX_WAIT_SHARE = 0.5;

/** Interval at which waiting requests are placed, in milliseconds. */
const DISPATCH_INTERVAL_MS = 20;

/** Time over which the rate of requests to limited endpoints is measured, in milliseconds. */
const RATE_WINDOW_MS = 2000;

/** Factor by which earlier demand counts less in each round of the allocation of permits. */
const DEMAND_DECAY = 0.5;

const SECOND_MS = 1000;

/** A request that no endpoint of its pool accepts now. @internal */
export interface HeldRequest {
  readonly resolved: ResolvedRequest;
  /** Time until the deadline of the request, in milliseconds. */
  readonly leftMs: number;
  /** Ids of endpoints that the request does not go to again. */
  readonly triedEndpoints: ReadonlySet<string>;
  /** Whether an endpoint may serve the request at all. */
  readonly allows: (endpoint: Endpoint) => boolean;
  /** Called when an endpoint accepts a request and it is this one's turn. */
  readonly onTurn: () => void;
  /** Called if the request would wait, or has waited, too long. */
  readonly onRejected: (failure: Failure) => void;
}

interface WaitingItem extends RankedItem {
  readonly hold: DisposableStore;
  readonly onTurn: () => void;
  /** Whether an endpoint accepts the request now. */
  readonly isAccepted: () => boolean;
  /** Whether an endpoint in service may serve the request, now or later. */
  readonly isServable: () => boolean;
  readonly onUnservable: () => void;
}

/** Waiting requests that only the same part of a pool's restricted endpoints may serve. */
interface NarrowDemand {
  readonly endpoints: readonly Endpoint[];
  /** By rank, the number of waiting requests. */
  readonly waiting: number[];
}

/** Demand for the limited endpoints of one pool. */
interface PoolDemand {
  readonly queue: UrgencyQueue<WaitingItem>;
  /** By the ids of their endpoints. */
  readonly narrow: Map<string, NarrowDemand>;
  /** By rank, recent requests that could have used a permit. */
  recent: number[];
  /** Times at which permits were used, in milliseconds. */
  takenAt: number[];
}

/** @internal */
export interface HeldRequestsOptions {
  readonly directory: EndpointDirectory;
  readonly timer: Timer;
  readonly journal: Journal;
  readonly metrics: Metrics;
}

/**
 * Requests that wait because the endpoints of their pool limit the requests that they accept. Load patterns:
 * all endpoints of a pool have a limit below what arrives, or ask for a pause at the same time. A request
 * waits if it is expected to be placed soon, and is rejected at once otherwise, with the time after which it
 * may be placed.
 * @internal
 */
export class HeldRequests implements Disposable {
  readonly #options: HeldRequestsOptions;

  readonly #pools = new Map<PoolName, PoolDemand>();

  readonly #store = new DisposableStore();

  readonly #held;

  #dispatch: Disposable | undefined;

  readonly #log: HeldRequestLog;

  /** Waiting requests that are rejected when no endpoint in service may serve them. */
  readonly #waiting = new Set<WaitingItem>();

  constructor(options: HeldRequestsOptions) {
    this.#options = options;
    this.#log = new HeldRequestLog(options);
    const help = 'Requests that no endpoint accepted at once, by outcome';
    this.#held = options.metrics.counter('held_requests_total', help, ['outcome']);
  }

  /** Number of requests that are kept. */
  get size(): number {
    return this.#store.size;
  }

  /** Records a request that is placed in a pool with a limited endpoint. */
  recordDemand({ target, rank }: ResolvedRequest): void {
    const { recent } = this.#poolOf(target);
    recent[rank] = (recent[rank] ?? 0) + 1;
  }

  /** Records that a request to a pool has used a permit. */
  recordTaken(pool: PoolName): void {
    const { takenAt } = this.#poolOf(pool);
    takenAt.push(this.#options.timer.now());
  }

  /** By rank, the permits that requests of the pool want. */
  wantedOf(pool: PoolName): number[] {
    const demand = this.#pools.get(pool);
    if (!demand) return [];
    const { waiting } = demand.queue;
    const ranks = Math.max(waiting.length, demand.recent.length);
    return Array.from(
      { length: ranks },
      (_, rank) => (waiting[rank] ?? 0) + (demand.recent[rank] ?? 0),
    );
  }

  /** Ends a round of the allocation of permits. */
  endRound(): void {
    const since = this.#options.timer.now() - RATE_WINDOW_MS;
    for (const demand of this.#pools.values()) {
      demand.recent = Array.from(demand.recent, (count = 0) => count * DEMAND_DECAY);
      demand.takenAt = demand.takenAt.filter((at) => at > since);
    }
  }

  /** Holds a request until an endpoint accepts it; disposing of the result removes it. */
  hold(request: HeldRequest): Disposable {
    const { resolved, leftMs, triedEndpoints, allows, onTurn } = request;
    const { target, rank, workspace, route } = resolved;
    const mayUse = (endpoint: Endpoint): boolean =>
      !triedEndpoints.has(endpoint.listed.id) && allows(endpoint);
    const restricted = this.#restricted(target);
    if (!restricted.some(mayUse)) {
      this.#rejectUnservable(request);
      return { [Symbol.dispose]: () => {} };
    }
    const { queue } = this.#poolOf(target);
    const ahead = queue.countAhead(rank);
    const expectedMs = this.#expectedWaitMs(resolved, allows);
    const waitMs = Math.max(MIN_WAIT_MS, route.objectiveMs * WAIT_OBJECTIVES);
    const maxWaitMs = Math.min(waitMs, leftMs * MAX_WAIT_SHARE);
    const isAdmitted = expectedMs <= maxWaitMs;
    const decision = { ahead, expectedMs: Math.round(expectedMs), isAdmitted };
    this.#log.record(resolved, restricted, decision);
    if (!isAdmitted) {
      this.#reject(request, expectedMs, 'rejected');
      return { [Symbol.dispose]: () => {} };
    }
    const hold = this.#store.add(new DisposableStore());
    const item: WaitingItem = {
      hold,
      onTurn,
      isAccepted: () => this.#acceptsRequest(target, mayUse),
      isServable: () =>
        this.#options.directory
          .endpointsOf(target)
          .some((endpoint) => endpoint.isInService && mayUse(endpoint)),
      onUnservable: () => this.#rejectUnservable(request),
      rank,
      workspace: asId(workspace?.name ?? ''),
      share: 1,
      work: 1,
      startBy: this.#options.timer.now() + maxWaitMs,
      isWaiting: true,
    };
    hold.defer(() => queue.remove(item));
    this.#waiting.add(item);
    hold.defer(() => this.#waiting.delete(item));
    hold.add(this.#countNarrow(resolved, restricted.filter(allows), restricted.length));
    const onExpired = (): void => {
      this.#store.release(hold);
      this.#reject(request, expectedMs, 'expired');
    };
    hold.add(this.#options.timer.after(maxWaitMs, onExpired));
    queue.add(item);
    this.#dispatch ??= this.#options.timer.every(DISPATCH_INTERVAL_MS, () => this.#placeWaiting());
    return { [Symbol.dispose]: () => this.#store.release(hold) };
  }

  /** Rejects the waiting requests that no endpoint in service may serve, since a data centre is evacuated. */
  rejectUnservable(): void {
    for (const item of [...this.#waiting].filter(({ isServable }) => !isServable())) {
      this.#store.release(item.hold);
      this.#held.inc({ outcome: 'rejected' });
      item.onUnservable();
    }
  }

  [Symbol.dispose](): void {
    this.#dispatch?.[Symbol.dispose]();
    this.#store[Symbol.dispose]();
  }

  #placeWaiting(): void {
    const now = this.#options.timer.now();
    let waiting = 0;
    for (const [pool, { queue }] of this.#pools) {
      // No endpoint accepts a request in a turn of the event loop that it did not accept before in it.
      const refused = new Set<WaitingItem>();
      const canBeServed = (item: WaitingItem): boolean => {
        if (refused.has(item)) return false;
        const isAccepted = item.isAccepted();
        if (!isAccepted) refused.add(item);
        return isAccepted;
      };
      // Each item is considered once, since one that has tried the accepting endpoint waits again.
      for (let left = queue.countAhead(Infinity); left > 0; left -= 1) {
        const item = this.#acceptsRequest(pool) ? queue.take(now, canBeServed) : undefined;
        if (!item) break;
        this.#store.release(item.hold);
        this.#held.inc({ outcome: 'placed' });
        item.onTurn();
      }
      waiting += queue.countAhead(Infinity);
    }
    if (waiting > 0) return;
    this.#dispatch?.[Symbol.dispose]();
    this.#dispatch = undefined;
  }

  #acceptsRequest(pool: PoolName, mayUse: (endpoint: Endpoint) => boolean = () => true): boolean {
    const endpoints = this.#options.directory.endpointsOf(pool);
    return endpoints.some(
      (endpoint) => endpoint.isInService && endpoint.acceptsRequest && mayUse(endpoint),
    );
  }

  /** Expected time until a request is placed behind others, in milliseconds. */
  #expectedWaitMs(resolved: ResolvedRequest, allows: (endpoint: Endpoint) => boolean): number {
    const { target: pool } = resolved;
    const all = this.#restricted(pool);
    const restricted = all.filter(allows);
    const pauses = restricted.map(({ statements }) => statements.pausedMs).filter((ms) => ms > 0);
    const evenShare = sumOpenLimits(restricted) / this.#options.directory.instances();
    const measured = (this.#poolOf(pool).takenAt.length * SECOND_MS) / RATE_WINDOW_MS;
    const places = this.#placesAhead(resolved, allows) + 1;
    const permitMs = (places * SECOND_MS) / Math.max(evenShare, measured * shareOf(all, allows));
    return Math.min(permitMs, ...pauses);
  }

  /**
   * Places that requests ahead of another one are expected to take at the endpoints that it may use; they use all
   * endpoints that may serve them, by their limits.
   */
  #placesAhead({ target, rank }: ResolvedRequest, allows: (endpoint: Endpoint) => boolean): number {
    const { queue, narrow } = this.#poolOf(target);
    let others = queue.countAhead(rank);
    let places = 0;
    for (const { endpoints, waiting } of narrow.values()) {
      const ahead = waiting.slice(0, rank + 1).reduce((sum, count) => sum + count, 0);
      others -= ahead;
      places += ahead * shareOf(endpoints, allows);
    }
    return places + others * shareOf(this.#restricted(target), allows);
  }

  /** Counts a waiting request that not all of the restricted endpoints may serve; disposing of the result ends it. */
  #countNarrow(
    { target, rank }: ResolvedRequest,
    endpoints: readonly Endpoint[],
    restricted: number,
  ): Disposable {
    if (endpoints.length === restricted) return { [Symbol.dispose]: () => {} };
    const { narrow } = this.#poolOf(target);
    const key = endpoints.map(({ listed }) => listed.id).join(' ');
    const demand = narrow.get(key) ?? { endpoints, waiting: [] };
    const count = (change: number): void => {
      demand.waiting[rank] = (demand.waiting[rank] ?? 0) + change;
    };
    narrow.set(key, demand);
    count(1);
    return {
      [Symbol.dispose]: () => {
        count(-1);
        if (demand.waiting.every((waiting) => waiting === 0)) narrow.delete(key);
      },
    };
  }

  /** Endpoints in service that have a limit or have asked for a pause. */
  #restricted(pool: PoolName): Endpoint[] {
    const endpoints = this.#options.directory.endpointsOf(pool);
    return endpoints.filter(
      ({ isInService, statements }) =>
        isInService && (statements.isLimited || statements.pausedMs > 0),
    );
  }

  #rejectUnservable({ onRejected }: HeldRequest): void {
    onRejected(new Failure(gatewayCodes.noEndpoint, 'no endpoint available'));
  }

  #reject({ onRejected }: HeldRequest, expectedMs: number, outcome: 'rejected' | 'expired'): void {
    this.#held.inc({ outcome });
    const reason = 'the endpoints of the pool limit the requests that they accept, or pause';
    onRejected(new Failure(gatewayCodes.limited, reason, { retryAfterMs: expectedMs }));
  }

  #poolOf(pool: PoolName): PoolDemand {
    const known = this.#pools.get(pool);
    if (known) return known;
    const demand = {
      queue: new UrgencyQueue<WaitingItem>(),
      narrow: new Map(),
      recent: [],
      takenAt: [],
    };
    this.#pools.set(pool, demand);
    return demand;
  }
}
