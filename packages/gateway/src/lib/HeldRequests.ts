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
import { gatewayEvents } from './events';
import type { PoolName } from './ids';
import type { ResolvedRequest } from './resolveRequest';

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

/** Log lines of held requests per second; the failures of requests are always logged. */
const MAX_LINES_PER_S = 20;

/** Limits in one log line. */
const MAX_LOGGED_LIMITS = 4;

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
}

/** Demand for the limited endpoints of one pool. */
interface PoolDemand {
  readonly queue: UrgencyQueue<WaitingItem>;
  /** By rank, recent requests that could have used a permit. */
  recent: number[];
  /** Times at which permits were used, in milliseconds. */
  takenAt: number[];
}

/** Requests per second that endpoints accept by their limits; a paused one without a limit counts as none. */
function sumLimits(endpoints: readonly Endpoint[]): number {
  const limits = endpoints.map(({ statements }) => statements.requestsPerS);
  return limits.filter(Number.isFinite).reduce((sum, limit) => sum + limit, 0);
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

  #secondStartedAt = -Infinity;

  #lines = 0;

  constructor(options: HeldRequestsOptions) {
    this.#options = options;
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
      request.onRejected(new Failure(gatewayCodes.noEndpoint, 'no endpoint available'));
      return { [Symbol.dispose]: () => {} };
    }
    const { queue } = this.#poolOf(target);
    const ahead = queue.countAhead(rank);
    const expectedMs = this.#expectedWaitMs(target, ahead, allows);
    const waitMs = Math.max(MIN_WAIT_MS, route.objectiveMs * WAIT_OBJECTIVES);
    const maxWaitMs = Math.min(waitMs, leftMs * MAX_WAIT_SHARE);
    const isAdmitted = expectedMs <= maxWaitMs;
    this.#log(request, { ahead, expectedMs: Math.round(expectedMs), isAdmitted });
    if (!isAdmitted) {
      this.#reject(request, expectedMs, 'rejected');
      return { [Symbol.dispose]: () => {} };
    }
    const hold = this.#store.add(new DisposableStore());
    const item: WaitingItem = {
      hold,
      onTurn,
      isAccepted: () => this.#acceptsRequest(target, mayUse),
      rank,
      workspace: asId(workspace?.name ?? ''),
      share: 1,
      work: 1,
      startBy: this.#options.timer.now() + maxWaitMs,
      isWaiting: true,
    };
    hold.defer(() => queue.remove(item));
    const onExpired = (): void => {
      this.#store.release(hold);
      this.#reject(request, expectedMs, 'expired');
    };
    hold.add(this.#options.timer.after(maxWaitMs, onExpired));
    queue.add(item);
    this.#dispatch ??= this.#options.timer.every(DISPATCH_INTERVAL_MS, () => this.#placeWaiting());
    return { [Symbol.dispose]: () => this.#store.release(hold) };
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

  /**
   * Expected time until a request of a pool is placed behind others, in milliseconds. Those ahead of one that
   * only some endpoints may serve are expected to use the others as well, by their limits.
   */
  #expectedWaitMs(pool: PoolName, ahead: number, allows: (endpoint: Endpoint) => boolean): number {
    const all = this.#restricted(pool);
    const restricted = all.filter(allows);
    const pauses = restricted.map(({ statements }) => statements.pausedMs).filter((ms) => ms > 0);
    const limits = restricted.filter(({ statements: { pausedMs } }) => pausedMs === 0);
    const limitPerS = sumLimits(limits);
    const openLimits = all.filter(({ statements: { pausedMs } }) => pausedMs === 0);
    const share = limitPerS === 0 ? 0 : limitPerS / sumLimits(openLimits);
    const evenShare = limitPerS / this.#options.directory.instances();
    const measured = (this.#poolOf(pool).takenAt.length * SECOND_MS) / RATE_WINDOW_MS;
    const permitMs = ((ahead * share + 1) * SECOND_MS) / Math.max(evenShare, measured * share);
    return Math.min(permitMs, ...pauses);
  }

  /** Endpoints in service that have a limit or have asked for a pause. */
  #restricted(pool: PoolName): Endpoint[] {
    const endpoints = this.#options.directory.endpointsOf(pool);
    return endpoints.filter(
      ({ isInService, statements }) =>
        isInService && (statements.isLimited || statements.pausedMs > 0),
    );
  }

  #reject({ onRejected }: HeldRequest, expectedMs: number, outcome: 'rejected' | 'expired'): void {
    this.#held.inc({ outcome });
    const reason = 'the endpoints of the pool limit the requests that they accept, or pause';
    onRejected(new Failure(gatewayCodes.limited, reason, { retryAfterMs: expectedMs }));
  }

  #log({ resolved }: HeldRequest, decision: Record<string, unknown>): void {
    const { timer, journal, directory } = this.#options;
    const now = timer.now();
    if (now - this.#secondStartedAt >= SECOND_MS) {
      this.#secondStartedAt = now;
      this.#lines = 0;
    }
    this.#lines += 1;
    if (this.#lines > MAX_LINES_PER_S) return;
    const { metadata, target: pool, rank } = resolved;
    const restricted = this.#restricted(pool).slice(0, MAX_LOGGED_LIMITS);
    journal.record(gatewayEvents.requestHeld, {
      request: metadata.attempt,
      pool,
      rank,
      ...decision,
      instances: directory.instances(),
      hasLeader: directory.hasPermitLeader(),
      limits: restricted.map(({ statements }) => statements.describe()),
    });
  }

  #poolOf(pool: PoolName): PoolDemand {
    const known = this.#pools.get(pool);
    if (known) return known;
    const demand = { queue: new UrgencyQueue<WaitingItem>(), recent: [], takenAt: [] };
    this.#pools.set(pool, demand);
    return demand;
  }
}
