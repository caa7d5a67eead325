import type { Journal, Random, Timer } from '@berylwood/base';
import type { RecoveryEnd } from '@berylwood/policy';
import type { EndpointWork } from '@berylwood/registry';
import { Endpoint, endpointKey } from './Endpoint';
import type { EndpointParts } from './EndpointStatements';
import { gatewayEvents } from './events';
import type { PoolName } from './ids';
import type { ColdStart } from './RoutingConfiguration';
import type { ListedEndpoint } from './Wire';

/** Fraction of an endpoint's connections that all instances use together; the rest is for new instances. */
const CONNECTION_SHARE = 0.8;

/** Minimum number of connections to an endpoint that an instance may open. */
const MIN_CONNECTIONS = 4;

/** Maximum number of connections to an endpoint whose pool is not in the configuration. */
const DEFAULT_MAX_CONNECTIONS = 64;

/** Whether a newer list shows that an endpoint may have started since the list before. */
function mayHaveStarted(before: ListedEndpoint | undefined, after: ListedEndpoint): boolean {
  return before === undefined || (before.isDraining && !after.isDraining);
}

/** Endpoints of all pools, by the latest list of endpoints. @internal */
export class EndpointDirectory implements Disposable {
  readonly #timer: Timer;

  readonly #journal: Journal;

  readonly #parts: EndpointParts;

  #endpoints = new Map<string, Endpoint>();

  #pools = new Map<PoolName, Endpoint[]>();

  #loadedAt = -Infinity;

  /** Maximum number of connections of all instances to one endpoint of a pool. */
  maxConnections: (pool: PoolName) => number | undefined = () => undefined;

  /** Called when the first list is loaded. */
  onLoaded: () => void = () => {};

  /** Number of instances that share the endpoints. */
  instances: () => number = () => 1;

  /** Whether a leader allocates the permits of endpoints with a limit. */
  hasPermitLeader: () => boolean = () => false;

  /** Whether operators have ordered the evacuation of a data centre. */
  isEvacuated: (dataCentre: string) => boolean = () => false;

  /** What cold endpoints of a pool accept; undefined if they are never cold. */
  coldStart: (pool: PoolName) => ColdStart | undefined = () => undefined;

  /** Whether endpoints are paced after a start or an ejection. */
  isPaced = false;

  /** Called at the end of a recovery of an endpoint. */
  onRecovered: (cause: RecoveryEnd) => void = () => {};

  constructor(timer: Timer, journal: Journal, random: Random) {
    this.#timer = timer;
    this.#journal = journal;
    const fleet = {
      instances: () => this.instances(),
      hasPermitLeader: () => this.hasPermitLeader(),
      coldStart: (pool: PoolName) => this.coldStart(pool),
      isPaced: () => this.isPaced,
      onRecovered: (cause: RecoveryEnd) => this.onRecovered(cause),
    };
    this.#parts = { timer, journal, random, fleet };
  }

  /** All listed endpoints. */
  get endpoints(): Endpoint[] {
    return [...this.#endpoints.values()];
  }

  /** The listed endpoint with a key, if any. */
  find(key: string): Endpoint | undefined {
    return this.#endpoints.get(key);
  }

  get isLoaded(): boolean {
    return this.#loadedAt > -Infinity;
  }

  /** Time since the list was last replaced, in milliseconds. */
  get ageMs(): number {
    return this.#timer.now() - this.#loadedAt;
  }

  endpointsOf(pool: PoolName): readonly Endpoint[] {
    return this.#pools.get(pool) ?? [];
  }

  /** Work that this instance has in flight to endpoints. */
  ownWork(): EndpointWork[] {
    return [...this.#endpoints.values()]
      .filter(({ isBusy }) => isBusy)
      .map(({ ownWork }) => ownWork);
  }

  /** Stores the work of all other instances; endpoints that are not listed have none. */
  share(work: readonly EndpointWork[]): void {
    const byId = new Map(work.map((item) => [item[0], item]));
    for (const endpoint of this.#endpoints.values()) {
      endpoint.share(byId.get(endpoint.listed.id) ?? [endpoint.listed.id, [], 0]);
    }
  }

  /** Applies the orders of operators after they have changed. */
  updateEvacuations(): void {
    for (const endpoint of this.#endpoints.values()) {
      endpoint.isEvacuated = this.isEvacuated(endpoint.listed.dataCentre);
    }
  }

  /** Records that a data centre is in service again: a start of its endpoints may have gone unseen. */
  dataCentreReturned(dataCentre: string): void {
    for (const endpoint of this.#endpoints.values()) {
      if (endpoint.listed.dataCentre === dataCentre) this.#markStarted(endpoint);
    }
  }

  /** Replaces the list; endpoints that are not in it receive no more requests. */
  replace(listed: readonly ListedEndpoint[]): void {
    const before = this.#endpoints;
    const after = new Map<string, Endpoint>();
    const changes: string[] = [];
    for (const item of listed) {
      const key = endpointKey(item);
      const known = before.get(key);
      if (known && known.listed.isDraining !== item.isDraining) changes.push(`${item.id} leaving`);
      if (!known) changes.push(`${item.id} new`);
      const limit = this.#connectionLimit(item.pool);
      const endpoint = known ?? new Endpoint(item, limit, this.#parts);
      if (this.isLoaded && mayHaveStarted(known?.listed, item)) this.#markStarted(endpoint);
      endpoint.update(item);
      endpoint.isEvacuated = this.isEvacuated(item.dataCentre);
      endpoint.setMaxConnections(limit);
      after.set(key, endpoint);
    }
    for (const [key, endpoint] of before) {
      if (after.has(key)) continue;
      changes.push(`${endpoint.listed.id} gone`);
      endpoint.leaving();
      endpoint[Symbol.dispose]();
    }
    this.#endpoints = after;
    this.#rebuildPools();
    const wasLoaded = this.isLoaded;
    this.#loadedAt = this.#timer.now();
    if (!wasLoaded) this.onLoaded();
    if (changes.length === 0) return;
    this.#journal.record(gatewayEvents.listRead, { endpoints: listed.length, changes });
  }

  [Symbol.dispose](): void {
    for (const endpoint of this.#endpoints.values()) endpoint[Symbol.dispose]();
  }

  #markStarted({ statements, pace }: Endpoint): void {
    pace.begin('started');
    statements.coldness.mayHaveStarted(this.#timer.now());
  }

  #rebuildPools(): void {
    this.#pools = new Map();
    for (const endpoint of this.#endpoints.values()) {
      const { pool } = endpoint.listed;
      const endpoints = this.#pools.get(pool) ?? [];
      endpoints.push(endpoint);
      this.#pools.set(pool, endpoints);
    }
  }

  #connectionLimit(pool: PoolName): number {
    const limit = this.maxConnections(pool) ?? DEFAULT_MAX_CONNECTIONS;
    const share = Math.floor((limit * CONNECTION_SHARE) / Math.max(1, this.instances()));
    return Math.max(MIN_CONNECTIONS, share);
  }
}
