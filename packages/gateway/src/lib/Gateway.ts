import { join } from 'node:path';
import { inflateRawSync } from 'node:zlib';
import { Random, Task, type Journal, type Metrics, type Timer } from '@berylwood/base';
import { LinkServer } from '@berylwood/link';
import { ContentQuarantine } from '@berylwood/policy';
import {
  FleetClock,
  Mesh,
  PeerTransport,
  Registry,
  UsageLedger,
  type StoredConfiguration,
} from '@berylwood/registry';
import type { GatewaySettings } from '@berylwood/schema';
import { createBodyBudgets } from './createBodyBudgets';
import { createOperatorListener } from './createOperatorListener';
import { drainCallers } from './drainCallers';
import { EndpointServices } from './EndpointServices';
import { gatewayEvents } from './events';
import { FaultLog } from './FaultLog';
import type { GatewayContext } from './GatewayContext';
import { GatewayServers } from './GatewayServers';
import type { WorkspaceName } from './ids';
import { EndpointListReader } from './EndpointListReader';
import { leaveRegistry } from './leaveRegistry';
import { RetryBudgets } from './RetryBudgets';
import { RequestLog } from './RequestLog';
import { RoutingTable } from './RoutingTable';
import { StartGate } from './StartGate';
import { SuspicionSharing } from './SuspicionSharing';
import { UsageReporter } from './UsageReporter';
import type { PlatformCalls, Wire } from './Wire';

/** Options of a gateway. @public */
export interface GatewayOptions {
  readonly settings: GatewaySettings;
  readonly wire: Wire;
  readonly platform: PlatformCalls | undefined;
  readonly incarnation: string;
  readonly timer: Timer;
  readonly journal: Journal;
  readonly metrics: Metrics;
}

/**
 * Number of instances assumed until the leader has counted them. It is high so that the shared
 * budgets hold even in a large deployment.
 */
const ASSUMED_INSTANCES = 64;

/** Interval at which instances exchange their work in flight, in milliseconds: a few engine steps. */
const WORK_SHARE_INTERVAL_MS = 100;

/** Routes callers' requests to the endpoints of pools by a configuration from the registry. @public */
export class Gateway extends Task {
  readonly name = 'gateway';

  readonly #options: GatewayOptions;

  #settings: GatewaySettings;

  readonly #address: string;

  /** Name under which this incarnation's usage is counted. */
  readonly #usageSource: string;

  readonly #links = new LinkServer();

  readonly #clock: FleetClock;

  readonly #usage = new UsageLedger();

  readonly #endpoints: EndpointServices;

  readonly #registry: Registry | undefined;

  readonly #mesh: Mesh;

  readonly #startGate: StartGate;

  readonly #servers: GatewayServers;

  readonly #listReader: EndpointListReader | undefined;

  readonly #transport: PeerTransport;

  readonly #quarantine = new ContentQuarantine();

  readonly #random = new Random(Math.floor(Math.random() * 2 ** 31));

  readonly #faults: FaultLog;

  #table: RoutingTable | undefined;

  /** Size of the newest configuration document that this instance has received, in bytes. */
  #documentBytes = 0;

  #isStopping = false;

  /** Whether new requests on persistent connections are rejected, as they might not end in time. */
  #isRejecting = false;

  #wasReady = false;

  constructor(options: GatewayOptions) {
    super();
    const { settings, wire, platform, timer, journal, metrics, incarnation } = options;
    this.#options = options;
    this.#settings = settings;
    this.#faults = new FaultLog(journal, metrics);
    this.#address = `${settings.ip}:${settings.meshPort}`;
    this.#usageSource = `${settings.instance}/${incarnation}`;
    this.#clock = new FleetClock(timer);
    this.#transport = new PeerTransport({ timer, journal, resolveAddress: (replica) => replica });
    this.#registry = this.#createRegistry();
    this.#mesh = new Mesh({
      address: this.#address,
      operators: createOperatorListener(settings),
      source: this.#usageSource,
      seeds: () => this.#seeds,
      registry: this.#registry,
      originDirectory: settings.data === undefined ? undefined : join(settings.data, 'origins'),
      tolerance: settings.tolerance,
      clock: this.#clock,
      usage: this.#usage,
      timer,
      journal,
      metrics,
    });
    this.#mesh.onConfiguration = (configuration) => this.#applyConfiguration(configuration);
    const quarantine = this.#quarantine;
    this.store.add(new SuspicionSharing({ quarantine, mesh: this.#mesh, timer, journal }));
    this.#startGate = this.store.add(new StartGate(timer));
    const random = this.#random;
    this.#endpoints = new EndpointServices({
      wire,
      mesh: this.#mesh,
      timer,
      journal,
      metrics,
      random,
      faults: this.#faults,
      instances: () => this.#instances,
      table: () => this.#table,
      paceAfterStart: settings.paceAfterStart,
      fairAdmission: settings.fairAdmission,
      onLoaded: () => this.#updateReadiness(),
    });
    this.#servers = new GatewayServers({
      context: this.#createContext(),
      settings,
      mesh: this.#mesh,
      links: this.#links,
      isReady: () => this.#isReady(),
      documentBytes: () => this.#documentBytes,
    });
    this.#listReader = platform && this.#createListReader(platform);
  }

  override async start(): Promise<void> {
    this.#mesh.serve(this.#links);
    this.#transport.serve(this.#links);
    await this.#links.listen(this.#address);
    await this.#servers.listen();
    this.#listReader?.open();
    this.#mesh.onNotice = (value) => this.#listReader?.receive(value);
    this.#mesh.onWork = (work) => this.#endpoints.directory.share(work);
    this.store.add(
      this.#options.timer.every(WORK_SHARE_INTERVAL_MS, () => this.#endpoints.share()),
    );
    await this.#mesh.open();
    await this.#registry?.open();
    this.#startUsageReporter();
  }

  /** Applies reloaded settings; only the seeds may change at run time. */
  reload(settings: GatewaySettings): void {
    this.#settings = settings;
    const { seeds } = settings;
    this.#options.journal.record(gatewayEvents.settingsReloaded, { seeds });
  }

  /** Reports not ready, serves open requests, and stops before the grace period ends. */
  override async stop(): Promise<void> {
    const { timer, journal, settings } = this.#options;
    this.#isStopping = true;
    this.#updateReadiness();
    const graceMs = settings.graceS * 1000;
    const onUnlisted = (): void => {
      this.#isRejecting = true;
    };
    const registry = this.#registry;
    const parts = { mesh: this.#mesh, timer, journal, graceMs };
    await Promise.all([
      drainCallers(this.#servers.callers, { timer, graceMs, onUnlisted }),
      registry && leaveRegistry({ registry, ...parts }),
    ]);
    this.#servers.close();
    this.#listReader?.[Symbol.dispose]();
    this.#mesh[Symbol.dispose]();
    this.#registry?.[Symbol.dispose]();
    this.#transport[Symbol.dispose]();
    this.#endpoints[Symbol.dispose]();
    await this.#links.close();
    await super.stop();
  }

  protected override handle(): void {
    // Not used: requests arrive over HTTP, messages of other instances over links.
  }

  /** Mesh addresses of the seeds. */
  get #seeds(): string[] {
    const { seeds, meshPort } = this.#settings;
    return seeds.map((seed) => `${seed.slice(0, seed.lastIndexOf(':'))}:${meshPort}`);
  }

  get #instances(): number {
    const { instanceCount: instances } = this.#mesh;
    return instances > 0 ? instances : ASSUMED_INSTANCES;
  }

  #createRegistry(): Registry | undefined {
    const { settings, timer, journal } = this.#options;
    if (settings.data === undefined) return undefined;
    return new Registry({
      address: this.#address,
      directory: settings.data,
      bootstrapReplicas: settings.bootstrap ? [...this.#seeds].sort() : [],
      seeds: () => this.#seeds,
      contacts: () => this.#mesh.replicaAddresses,
      tolerance: settings.tolerance,
      transport: this.#transport,
      timer,
      journal,
    });
  }

  #createContext(): GatewayContext {
    const { settings, wire, timer, journal, metrics } = this.#options;
    const { callers, operators } = createBodyBudgets({ settings, timer, journal, metrics });
    const bounds = { ratio: settings.repeatRatio, slack: settings.repeatSlack };
    return {
      wire,
      timer,
      journal,
      metrics,
      random: this.#random,
      log: new RequestLog(journal, timer, metrics),
      faults: this.#faults,
      directory: this.#endpoints.directory,
      startGate: this.#startGate,
      held: this.#endpoints.held,
      engines: this.#endpoints.engines,
      streamEngines: this.#endpoints.streamEngines,
      bodies: callers,
      operatorBodies: operators,
      admission: this.#endpoints.admission,
      origins: this.#mesh.origins,
      budgets: new RetryBudgets(bounds, () => this.#instances),
      quarantine: this.#quarantine,
      dataCentre: settings.dataCentre,
      table: () => this.#table,
      isStopping: () => this.#isStopping,
      isRejecting: () => this.#isRejecting,
      countStartedRequest: (workspace) => this.#countStartedRequest(workspace),
    };
  }

  #createListReader(platform: PlatformCalls): EndpointListReader {
    const { timer, journal, settings } = this.#options;
    return new EndpointListReader({
      platform,
      directory: this.#endpoints.directory,
      timer,
      journal,
      callsPerS: settings.platformCallsPerS,
      instances: () => this.#instances,
      isReader: () => this.#mesh.isLeader,
      publish: (listed) => this.#mesh.broadcastNotice(listed),
    });
  }

  #startUsageReporter(): void {
    const { platform, settings, timer, journal } = this.#options;
    const { usageWindowS: windowS, dutyPauseMs: pauseMs } = settings;
    const registry = this.#registry;
    if (!registry || !platform || windowS === undefined) return;
    const parts = { registry, mesh: this.#mesh, platform, timer, journal, windowS, pauseMs };
    this.store.add(new UsageReporter({ ...parts, usage: this.#usage, clock: this.#clock }));
  }

  #countStartedRequest(workspace: WorkspaceName | undefined): void {
    const { usageWindowS } = this.#options.settings;
    if (workspace === undefined || usageWindowS === undefined) return;
    const window = Math.floor(this.#clock.now() / 1000 / usageWindowS);
    this.#usage.countRequest(this.#usageSource, window, workspace);
  }

  #applyConfiguration({ version, body }: StoredConfiguration): void {
    const { wire, journal } = this.#options;
    const document = inflateRawSync(body);
    this.#documentBytes = document.length;
    const decoded = wire.decodeConfiguration(document.toString('utf8'));
    if (decoded.isErr()) {
      journal.record(gatewayEvents.tableRefused, { version, reason: decoded.error.message });
      return;
    }
    this.#table = new RoutingTable(decoded.value);
    this.#servers.callers.applyLimits(decoded.value.limits);
    const { routes, pools } = decoded.value;
    const sizes = { routes: routes.length, pools: pools.length };
    journal.record(gatewayEvents.tableReplaced, { version, ...sizes });
    this.#updateReadiness();
  }

  #isReady(): boolean {
    this.#updateReadiness();
    return this.#wasReady;
  }

  #updateReadiness(): void {
    const hasRoutingData = this.#table !== undefined && this.#endpoints.directory.isLoaded;
    if (hasRoutingData) this.#startGate.release();
    const isReady = !this.#isStopping && hasRoutingData;
    if (isReady === this.#wasReady) return;
    this.#wasReady = isReady;
    this.#options.journal.record(gatewayEvents.readinessChanged, {
      isReady,
      isStopping: this.#isStopping,
      version: this.#table?.version,
      listAgeMs: Math.round(this.#endpoints.directory.ageMs),
    });
  }
}
