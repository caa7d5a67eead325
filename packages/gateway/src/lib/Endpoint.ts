import type { Timer } from '@berylwood/base';
import {
  CircuitBreaker,
  URGENCY_LEVELS,
  type EngineView,
  type EndpointView,
} from '@berylwood/policy';
import type { EndpointWork } from '@berylwood/registry';
import { EndpointAgent } from './EndpointAgent';
import { ReachabilityProbe } from './ReachabilityProbe';
import type { ListedEndpoint, ReportedLoad } from './Wire';

/** Time an endpoint is spared after a connection to it failed; it is probed by one request then. */
const EJECTION_MS = 1500;
const MAX_EJECTION_MS = 6000;

/** Failures in a row after which an endpoint is spared though it takes connections. */
const CONSECUTIVE_FAILURES = 4;

/** Share of a stated load of others that is still counted after this time, in milliseconds. */
const LOAD_HALF_LIFE_MS = 600;

function sumUpToRank(tokens: readonly number[], rank: number): number {
  return tokens.slice(0, rank + 1).reduce((sum, count) => sum + count, 0);
}

/** Time for which the work that the leader told counts as known, in milliseconds. */
const REMOTE_WORK_TTL_MS = 1000;

/** Requests sent within this time may begin in any order, in milliseconds. */
const OVERTAKE_MARGIN_MS = 250;

/** What an engine's view depends on. */
interface EngineViewOptions {
  readonly dataCentre: string;
  /** Instances that share the endpoints. */
  readonly instances: number;
  /** Rank of the request that is placed. */
  readonly rank: number;
  /** Requests that an engine of the pool runs at a time. */
  readonly slots: number;
}

/** One endpoint as this instance sees it. @internal */
export class Endpoint implements Disposable {
  readonly agent: EndpointAgent;

  #listed: ListedEndpoint;

  /** Opens on the first connection that fails. */
  readonly #connectBreaker = new CircuitBreaker({
    failureThreshold: 1,
    openMs: EJECTION_MS,
    maxOpenMs: MAX_EJECTION_MS,
  });

  /** Opens on answers that fail in a row. */
  readonly #responseBreaker = new CircuitBreaker({
    failureThreshold: CONSECUTIVE_FAILURES,
    openMs: EJECTION_MS,
    maxOpenMs: MAX_EJECTION_MS,
  });

  readonly #timer: Timer;

  readonly #probe: ReachabilityProbe;

  /** Time at which anything last came from the endpoint. */
  #lastSeenAt = -Infinity;

  #inFlight = 0;

  /** Requests of other instances, as of the last stated load. */
  #remoteRequests = 0;

  #remoteRequestsAt = -Infinity;

  #isLeaving = false;

  /** By rank, prompt tokens sent from here that are not known to be read yet. */
  readonly #pendingPrefillTokens: number[] = Array.from({ length: URGENCY_LEVELS }, () => 0);

  /** Work of all other instances, as the leader last told it. */
  #remoteWork = { tokens: [] as readonly number[], requests: 0, at: -Infinity };

  /** By rank, the latest time at which a request was sent that has begun to run since. */
  readonly #latestStartedSentAt = new Map<number, number>();

  /** Called when the endpoint is spared from now on, after failures. */
  readonly #onEjected: (reason: string) => void;

  constructor(
    listed: ListedEndpoint,
    maxConnections: number,
    timer: Timer,
    onEjected: (reason: string) => void = () => {},
  ) {
    this.#listed = listed;
    this.#timer = timer;
    this.#onEjected = onEjected;
    this.agent = new EndpointAgent(maxConnections);
    this.#probe = new ReachabilityProbe(listed.address, timer);
  }

  get listed(): ListedEndpoint {
    return this.#listed;
  }

  /** Whether requests may be sent there now. */
  get isUsable(): boolean {
    const now = this.#timer.now();
    return (
      this.isInService && this.#connectBreaker.allows(now) && this.#responseBreaker.allows(now)
    );
  }

  /** Whether the endpoint stays, spared or not. */
  get isInService(): boolean {
    return !this.#listed.isDraining && !this.#isLeaving;
  }

  /** Whether requests of this instance are on their way. */
  get isBusy(): boolean {
    return this.#inFlight > 0;
  }

  /** Whether a connection is free for one more request. */
  get hasFreeConnection(): boolean {
    return this.#inFlight < this.agent.maxSockets;
  }

  /** Takes over a newer entry of the list under the same id. */
  update(listed: ListedEndpoint): void {
    this.#listed = listed;
  }

  /** Sets the share of the endpoint's connections that this instance may use. */
  setMaxConnections(maxConnections: number): void {
    this.agent.maxSockets = maxConnections;
    this.agent.maxFreeSockets = maxConnections;
  }

  /** Notes that the endpoint itself says that it is leaving. */
  leaving(): void {
    this.#isLeaving = true;
  }

  /** Work on its way from this instance. */
  get ownWork(): EndpointWork {
    const last = this.#pendingPrefillTokens.findLastIndex((tokens) => tokens > 0);
    const tokens = this.#pendingPrefillTokens.slice(0, last + 1).map(Math.round);
    return [this.#listed.id, tokens, this.#inFlight];
  }

  /** Takes in the work that all other instances have on its way there. */
  share([, tokens, requests]: EndpointWork): void {
    this.#remoteWork = { tokens, requests, at: this.#timer.now() };
  }

  /** Requests that run or wait there, from all instances. */
  requests(instances: number): number {
    return this.#isRemoteWorkFresh
      ? this.#inFlight + this.#remoteWork.requests
      : this.#inFlight * instances;
  }

  /** Notes prompt tokens that were sent, or with a negative number, that have been read. */
  queue(rank: number, tokens: number): void {
    const at = Math.min(URGENCY_LEVELS - 1, Math.max(0, rank));
    this.#pendingPrefillTokens[at] = (this.#pendingPrefillTokens[at] ?? 0) + tokens;
  }

  /** The endpoint as a request of a rank sees it: what is less urgent waits behind it. */
  engineView({
    dataCentre,
    instances,
    rank,
    slots,
  }: EngineViewOptions): EngineView & { readonly endpoint: Endpoint } {
    const isFresh = this.#isRemoteWorkFresh;
    // Without news of the others, they are taken to do as this instance does.
    const own = sumUpToRank(this.#pendingPrefillTokens, rank) * (isFresh ? 1 : instances);
    return {
      key: this.#listed.id,
      queuedTokens: own + (isFresh ? sumUpToRank(this.#remoteWork.tokens, rank) : 0),
      running: this.requests(instances),
      slots,
      isLocal: this.#listed.dataCentre === dataCentre,
      endpoint: this,
    };
  }

  view(dataCentre: string): EndpointView & { readonly endpoint: Endpoint } {
    const ageMs = this.#timer.now() - this.#remoteRequestsAt;
    const others = this.#remoteRequests * 0.5 ** (ageMs / LOAD_HALF_LIFE_MS);
    return {
      key: this.#listed.id,
      load: this.#inFlight + others,
      slots: Math.max(1, this.#listed.slots),
      isLocal: this.#listed.dataCentre === dataCentre,
      endpoint: this,
    };
  }

  attemptStarted(): void {
    this.#inFlight += 1;
    this.#connectBreaker.sent();
    this.#responseBreaker.sent();
  }

  attemptFinished(): void {
    this.#inFlight -= 1;
  }

  /** Notes that a request which was sent at a time has begun to run. */
  executionStarted(rank: number, sentAt: number): void {
    this.#latestStartedSentAt.set(
      rank,
      Math.max(sentAt, this.#latestStartedSentAt.get(rank) ?? -Infinity),
    );
  }

  /**
   * Whether a request that is no more urgent, and was sent clearly later, has begun to run: then
   * the answer to an earlier one that is still silent is probably lost.
   */
  hasOvertaken(rank: number, sentAt: number): boolean {
    return [...this.#latestStartedSentAt].some(
      ([other, at]) => other >= rank && at > sentAt + OVERTAKE_MARGIN_MS,
    );
  }

  /** Takes in the load that the endpoint states with an answer. */
  observeLoad({ running, waiting }: ReportedLoad): void {
    this.#remoteRequests = Math.max(0, running + waiting - this.#inFlight);
    this.#remoteRequestsAt = this.#timer.now();
  }

  answered(): void {
    this.#connectBreaker.succeeded();
    this.#responseBreaker.succeeded();
  }

  /** Notes an answer that failed or broke off. */
  failed(): void {
    this.#connectBreaker.abandoned();
    this.#recordFailure(this.#responseBreaker, 'answers fail');
  }

  /** Notes that something has come from the endpoint. */
  seen(): void {
    this.#lastSeenAt = this.#timer.now();
  }

  /** Whether anything has come from the endpoint after a time. */
  seenSince(time: number): boolean {
    return this.#lastSeenAt > time;
  }

  /** Tries a new connection; if none is made, spares the endpoint and calls back. */
  probe(onUnreachable: () => void): void {
    this.#probe.check(() => {
      this.unreachable();
      onUnreachable();
    });
  }

  /** Notes a connection that could not be made; the endpoint is spared from now on. */
  unreachable(): void {
    this.#responseBreaker.abandoned();
    this.#recordFailure(this.#connectBreaker, 'no connection');
  }

  /** Notes a request that the endpoint turned away, full or as another incarnation. */
  refused(isMisdirected: boolean): void {
    if (isMisdirected) this.#isLeaving = true;
    this.abandoned();
  }

  /** Notes a request that ended without saying anything on the endpoint. */
  abandoned(): void {
    this.#connectBreaker.abandoned();
    this.#responseBreaker.abandoned();
  }

  get #isRemoteWorkFresh(): boolean {
    return this.#timer.now() - this.#remoteWork.at < REMOTE_WORK_TTL_MS;
  }

  #recordFailure(breaker: CircuitBreaker, reason: string): void {
    const before: string = breaker.state;
    breaker.failed(this.#timer.now());
    if (before !== 'open' && breaker.state === 'open') this.#onEjected(reason);
  }

  [Symbol.dispose](): void {
    for (const sockets of Object.values(this.agent.freeSockets)) {
      sockets?.forEach((socket) => socket.destroy());
    }
  }
}
