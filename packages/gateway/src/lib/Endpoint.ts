import type { Agent } from 'node:http';
import type { Journal, Timer } from '@berylwood/base';
import {
  MomentaryFigure,
  URGENCY_LEVELS,
  type EngineView,
  type EndpointView,
} from '@berylwood/policy';
import type { EndpointWork } from '@berylwood/registry';
import { CrashProbe } from './CrashProbe';
import { createEndpointAgent } from './createEndpointAgent';
import { EndpointColdness } from './EndpointColdness';
import { EndpointHealth } from './EndpointHealth';
import type { EndpointPace } from './EndpointPace';
import { EndpointStatements, type EndpointParts } from './EndpointStatements';
import { PrefillPeriod } from './PrefillPeriod';
import { ReachabilityProbe } from './ReachabilityProbe';
import { StartOrder } from './StartOrder';
import type { ListedEndpoint, ReportedLoad } from './Wire';

/** Time after which a reported load of other instances counts half, in milliseconds. */
const LOAD_HALF_LIFE_MS = 600;

function sumUpToRank(tokens: readonly number[], rank: number): number {
  return tokens.slice(0, rank + 1).reduce((sum, count) => sum + count, 0);
}

/** Time for which the remote work received from the leader is used, in milliseconds. */
const REMOTE_WORK_TTL_MS = 1000;

/** Properties of the request and the pool for which an engine is evaluated. */
interface EngineViewOptions {
  readonly dataCentre: string;
  /** Number of instances that share the endpoints. */
  readonly instances: number;
  /** Rank of the request to be placed. */
  readonly rank: number;
  /** Requests that an engine of the pool runs concurrently. */
  readonly slots: number;
}

/** Identifies an endpoint among all instances. @internal */
export function endpointKey({ id, address }: Pick<ListedEndpoint, 'id' | 'address'>): string {
  return `${id} ${address}`;
}

/** State of one endpoint as known to this instance: load, health and connections. @internal */
export class Endpoint implements Disposable {
  /** Pool of connections to the endpoint. */
  readonly agent: Agent;

  /** Conditions that the endpoint states in its responses. */
  readonly statements: EndpointStatements;

  /** Whether operators have ordered the evacuation of its data centre; a field, as each dispatch reads it. */
  isEvacuated = false;

  /** How long work takes on the endpoint at this moment. */
  readonly momentary = new MomentaryFigure();

  /** When prompt tokens of any instance were queued. */
  readonly prefill = new PrefillPeriod();

  #listed: ListedEndpoint;

  readonly #health: EndpointHealth;

  readonly #timer: Timer;

  readonly #probe: ReachabilityProbe;

  readonly #crashProbe: CrashProbe;

  /** Time at which data was last received from the endpoint. */
  #lastSeenAt = -Infinity;

  #inFlight = 0;

  /** Requests of other instances, as of the last reported load. */
  #remoteRequests = 0;

  #remoteRequestsAt = -Infinity;

  #isLeaving = false;

  /** By rank, prompt tokens that this instance has sent and whose prefill is not known to be finished. */
  readonly #pendingPrefillTokens: number[] = Array.from({ length: URGENCY_LEVELS }, () => 0);

  /** Work in flight from all other instances, as last received from the leader. */
  #remoteWork = { tokens: [] as readonly number[], requests: 0, at: -Infinity };

  readonly #starts = new StartOrder();

  readonly #journal: Journal;

  constructor(listed: ListedEndpoint, maxConnections: number, parts: EndpointParts) {
    this.#listed = listed;
    const { timer, journal } = parts;
    this.#timer = timer;
    this.#journal = journal;
    const coldness = new EndpointColdness(() => parts.fleet.coldStart?.(listed.pool));
    this.statements = new EndpointStatements(listed.id, parts, coldness);
    this.#health = new EndpointHealth({
      parts,
      coldness,
      listed: () => this.#listed,
      inFlight: () => this.#inFlight,
    });
    this.agent = createEndpointAgent(maxConnections);
    this.#probe = new ReachabilityProbe(listed.address, timer);
    this.#crashProbe = new CrashProbe(listed.address, timer);
  }

  get listed(): ListedEndpoint {
    return this.#listed;
  }

  /** Identifies the endpoint among all instances: its id at its address. */
  get key(): string {
    return endpointKey(this.#listed);
  }

  /** Pace of requests after a start or an ejection. */
  get pace(): EndpointPace {
    return this.#health.pace;
  }

  /** Whether requests may be sent to the endpoint now: in service and not ejected. */
  get isUsable(): boolean {
    return this.isInService && this.#health.allowsRequest;
  }

  /** Whether the endpoint is neither draining, leaving nor evacuated; it may be ejected. */
  get isInService(): boolean {
    const { isDraining } = this.#listed;
    return !this.isEvacuated && !isDraining && !this.#isLeaving && !this.statements.isLeaving;
  }

  /** Whether the endpoint has a connection for one more request, and accepts it by its conditions. */
  get acceptsRequest(): boolean {
    return this.hasFreeConnection && this.statements.acceptsRequest;
  }

  /** Requests that the endpoint runs concurrently, as listed. */
  get slots(): number {
    return Math.max(1, this.#listed.slots);
  }

  /** Whether requests of this instance are in flight. */
  get isBusy(): boolean {
    return this.#inFlight > 0;
  }

  /** Whether a connection is available for one more request. */
  get hasFreeConnection(): boolean {
    return this.#inFlight < this.agent.maxSockets;
  }

  /** Replaces the list entry by a newer one with the same id and address. */
  update(listed: ListedEndpoint): void {
    this.#listed = listed;
    this.statements.coldness.observeList(listed.coldRemainingMs, this.#timer.now());
  }

  /** Sets the number of connections to the endpoint that this instance may use. */
  setMaxConnections(maxConnections: number): void {
    this.agent.maxSockets = maxConnections;
    this.agent.maxFreeSockets = maxConnections;
  }

  /** Marks the endpoint as leaving; it receives no more requests. */
  leaving(): void {
    this.#isLeaving = true;
  }

  /** Work in flight from this instance. */
  get ownWork(): EndpointWork {
    const last = this.#pendingPrefillTokens.findLastIndex((tokens) => tokens > 0);
    const tokens = this.#pendingPrefillTokens.slice(0, last + 1).map(Math.round);
    return [this.#listed.id, tokens, this.#inFlight];
  }

  /** Stores the work that all other instances have in flight to the endpoint. */
  share([, tokens, requests]: EndpointWork): void {
    this.#remoteWork = { tokens, requests, at: this.#timer.now() };
    this.#observePrefill();
  }

  /** Estimated requests of all instances that run or wait at the endpoint. */
  requests(instances: number): number {
    return this.#isRemoteWorkFresh
      ? this.#inFlight + this.#remoteWork.requests
      : this.#inFlight * instances;
  }

  /** Adds prompt tokens that were sent; a negative number removes tokens whose prefill has ended. */
  queue(rank: number, tokens: number): void {
    const at = Math.min(URGENCY_LEVELS - 1, Math.max(0, rank));
    this.#pendingPrefillTokens[at] = (this.#pendingPrefillTokens[at] ?? 0) + tokens;
    this.#observePrefill();
  }

  /** Prompt tokens of all ranks and instances that are known to wait for prefill there. */
  get waitingTokens(): number {
    const own = sumUpToRank(this.#pendingPrefillTokens, URGENCY_LEVELS);
    return (
      own + (this.#isRemoteWorkFresh ? sumUpToRank(this.#remoteWork.tokens, URGENCY_LEVELS) : 0)
    );
  }

  /** View for a request of a rank; tokens of less urgent requests are left out, as they wait behind it. */
  engineView({
    dataCentre,
    instances,
    rank,
    slots,
  }: EngineViewOptions): EngineView & { readonly endpoint: Endpoint } {
    const isFresh = this.#isRemoteWorkFresh;
    // Without fresh remote work, every other instance is assumed to have the same work as this one.
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
      slots: this.slots,
      momentary: this.momentary.factorAt(this.#timer.now()),
      isLocal: this.#listed.dataCentre === dataCentre,
      endpoint: this,
    };
  }

  attemptStarted(): void {
    this.#inFlight += 1;
    this.#health.sent();
  }

  attemptFinished(): void {
    this.#inFlight -= 1;
  }

  /** Records that a request has started to run which was sent at `sentAt`. */
  executionStarted(rank: number, sentAt: number): void {
    this.#starts.started(rank, sentAt);
  }

  /** Whether a request that is not more urgent and was sent clearly later has started to run. */
  hasOvertaken(rank: number, sentAt: number): boolean {
    return this.#starts.hasOvertaken(rank, sentAt);
  }

  /** Records the load that the endpoint reports in a response. */
  observeLoad({ running, waiting, momentaryPercent }: ReportedLoad): void {
    if (momentaryPercent !== undefined) this.momentary.observe(momentaryPercent, this.#timer.now());
    this.#remoteRequests = Math.max(0, running + waiting - this.#inFlight);
    this.#remoteRequestsAt = this.#timer.now();
  }

  /** Records the first event of a response without a server error; an ejected endpoint recovers with it. */
  responded(isInTime: boolean): void {
    this.#health.responded(isInTime);
  }

  /** Records that the endpoint recovers, as other instances have seen. */
  othersAnswered(): void {
    this.#health.othersAnswered();
  }

  /** Records a complete response without a server error. */
  answered(): void {
    this.#health.answered();
  }

  /** Records a failed or incomplete response. */
  failed(): void {
    this.#health.failed();
  }

  /** Records that data was received from the endpoint. */
  seen(): void {
    this.#lastSeenAt = this.#timer.now();
  }

  /** Whether data was received from the endpoint after a time. */
  seenSince(time: number): boolean {
    return this.#lastSeenAt > time;
  }

  /** Probes the endpoint by a new connection; if that fails, ejects the endpoint and calls back. */
  probe(onUnreachable: () => void): void {
    this.#probe.check(() => {
      this.unreachable();
      onUnreachable();
    });
  }

  /** Resolves to whether the endpoint, which has just broken a connection, has crashed. */
  hasCrashed(): Promise<boolean> {
    return this.#crashProbe.hasCrashed();
  }

  /** Records a failed connection, which ejects the endpoint. */
  unreachable(): void {
    this.#health.unreachable();
  }

  /** Records a rejection by the endpoint: it is full, or it is another incarnation (misdirected). */
  refused(isMisdirected: boolean): void {
    if (isMisdirected) {
      this.#isLeaving = true;
      this.statements.coldness.mayHaveStarted(this.#timer.now());
    }
    this.abandoned();
  }

  /** Records a request whose end tells nothing about the endpoint's health. */
  abandoned(): void {
    this.#health.abandoned();
  }

  get #isRemoteWorkFresh(): boolean {
    return this.#timer.now() - this.#remoteWork.at < REMOTE_WORK_TTL_MS;
  }

  #observePrefill(): void {
    const last = URGENCY_LEVELS - 1;
    const own = sumUpToRank(this.#pendingPrefillTokens, last);
    this.prefill.observe(own + sumUpToRank(this.#remoteWork.tokens, last), this.#timer.now());
  }

  [Symbol.dispose](): void {
    for (const sockets of Object.values(this.agent.freeSockets)) {
      sockets?.forEach((socket) => socket.destroy());
    }
  }
}
