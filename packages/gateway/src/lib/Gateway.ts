import { inflateRawSync } from 'node:zlib';
import { Random, Task, type Journal, type Metrics, type Timer } from '@berylwood/base';
import { LinkServer } from '@berylwood/link';
import {
  FleetClock,
  Mesh,
  PeerTransport,
  Registry,
  UsageLedger,
  type StoredConfiguration,
} from '@berylwood/registry';
import type { GatewaySettings } from '@berylwood/schema';
import { EndpointDirectory } from './EndpointDirectory';
import { gatewayEvents } from './events';
import { FrontServer } from './FrontServer';
import type { GatewayContext } from './GatewayContext';
import type { WorkspaceName } from './ids';
import { ListReader } from './ListReader';
import { OperatorServer } from './OperatorServer';
import { ReadinessServer } from './ReadinessServer';
import { RepeatBudgets } from './RepeatBudgets';
import { RequestLog } from './RequestLog';
import { RoutingTable } from './RoutingTable';
import { StartGate } from './StartGate';
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

/** Instances assumed until the leader has counted them: budgets must hold for many. */
const ASSUMED_INSTANCES = 64;

/** Time for the balancer to notice that the instance isn't ready, in milliseconds. */
const NOTICE_MS = 2600;

/** Time before the end of the grace in which what is left is cut, in milliseconds. */
const CUT_BEFORE_MS = 500;

const TICK_MS = 100;

/** Interval at which instances tell each other their work, in milliseconds: a few engine steps. */
const SHARE_MS = 100;

/** Routes requests of callers to the endpoints of pools, by a configuration from the registry. @public */
export class Gateway extends Task {
  readonly name = 'gateway';

  readonly #options: GatewayOptions;

  #settings: GatewaySettings;

  readonly #address: string;

  /** Name under which this incarnation's usage is counted. */
  readonly #source: string;

  readonly #links = new LinkServer();

  readonly #clock: FleetClock;

  readonly #usage = new UsageLedger();

  readonly #directory: EndpointDirectory;

  readonly #registry: Registry | undefined;

  readonly #mesh: Mesh;

  readonly #gate: StartGate;

  readonly #front: FrontServer;

  readonly #readiness: ReadinessServer;

  readonly #operators: OperatorServer;

  readonly #list: ListReader | undefined;

  readonly #transport: PeerTransport;

  #table: RoutingTable | undefined;

  #isStopping = false;

  /** Whether new requests on kept connections are refused, as they might not end in time. */
  #isRefusing = false;

  #wasReady = false;

  constructor(options: GatewayOptions) {
    super();
    const { settings, wire, platform, timer, journal, incarnation } = options;
    this.#options = options;
    this.#settings = settings;
    this.#address = `${settings.ip}:${settings.meshPort}`;
    this.#source = `${settings.instance}/${incarnation}`;
    this.#clock = new FleetClock(timer);
    this.#transport = new PeerTransport({ timer, journal, resolveAddress: (replica) => replica });
    this.#registry = this.#createRegistry();
    this.#mesh = new Mesh({
      address: this.#address,
      source: this.#source,
      seeds: () => this.#seeds,
      registry: this.#registry,
      clock: this.#clock,
      usage: this.#usage,
      timer,
      journal,
    });
    this.#mesh.onConfiguration = (configuration) => this.#apply(configuration);
    this.#gate = this.store.add(new StartGate(timer));
    this.#directory = new EndpointDirectory(timer, journal);
    this.#directory.onKnown = () => this.#noteReadiness();
    this.#directory.instances = () => this.#instances;
    this.#directory.maxConnections = (pool) => this.#table?.findPool(pool)?.maxConnections;
    this.#front = new FrontServer(this.#createContext());
    this.#readiness = new ReadinessServer(wire.paths.readiness, () => this.#isReady());
    this.#operators = new OperatorServer({ wire, mesh: this.#mesh, journal });
    this.#list = platform && this.#createListReader(platform);
  }

  override async start(): Promise<void> {
    const { settings } = this.#options;
    this.#mesh.serve(this.#links);
    this.#transport.serve(this.#links);
    await this.#links.listen(this.#address);
    await this.#readiness.listen(settings.readiness);
    await this.#front.listen(settings.callers);
    if (settings.operators) await this.#operators.listen(settings.operators);
    this.#list?.open();
    this.#mesh.onNotice = (value) => this.#list?.take(value);
    this.#mesh.onWork = (work) => this.#directory.share(work);
    const share = (): void => this.#mesh.publishWork(this.#directory.ownWork());
    this.store.add(this.#options.timer.every(SHARE_MS, share));
    await this.#mesh.open();
    await this.#registry?.open();
    this.#reportUsage();
  }

  /** Takes over settings that were read again; only the seeds may change while it runs. */
  reload(settings: GatewaySettings): void {
    this.#settings = settings;
    const { seeds } = settings;
    this.#options.journal.record(gatewayEvents.settingsReloaded, { seeds });
  }

  /** Ceases to be ready, serves what is open, and ends before the grace is over. */
  override async stop(): Promise<void> {
    const { timer, settings } = this.#options;
    this.#isStopping = true;
    this.#noteReadiness();
    this.#registry?.transferLeadership().catch((error: unknown) => {
      this.#options.journal.record(gatewayEvents.handOverFailed, { error: String(error) });
    });
    const startedAt = timer.now();
    const endsAt = startedAt + settings.graceS * 1000 - CUT_BEFORE_MS;
    await timer.sleep(Math.min(NOTICE_MS, endsAt - startedAt));
    this.#isRefusing = true;
    this.#front.closeIdle();
    while (this.#front.openRequests > 0 && timer.now() < endsAt) {
      await timer.sleep(TICK_MS);
      this.#front.closeIdle();
    }
    this.#front.close();
    this.#operators.close();
    this.#readiness.close();
    this.#list?.[Symbol.dispose]();
    this.#mesh[Symbol.dispose]();
    this.#registry?.[Symbol.dispose]();
    this.#transport[Symbol.dispose]();
    this.#directory[Symbol.dispose]();
    await this.#links.close();
    await super.stop();
  }

  protected override handle(): void {
    // Requests come over HTTP, news over links.
  }

  /** Addresses between instances of the seeds. */
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
      tolerance: settings.tolerance,
      transport: this.#transport,
      timer,
      journal,
    });
  }

  #createContext(): GatewayContext {
    const { settings, wire, timer, journal, metrics } = this.#options;
    const bounds = { ratio: settings.repeatRatio, slack: settings.repeatSlack };
    return {
      wire,
      timer,
      journal,
      metrics,
      random: new Random(Math.floor(Math.random() * 2 ** 31)),
      log: new RequestLog(journal, timer, metrics),
      directory: this.#directory,
      gate: this.#gate,
      budgets: new RepeatBudgets(bounds, () => this.#instances),
      dataCentre: settings.dataCentre,
      table: () => this.#table,
      isStopping: () => this.#isStopping,
      isRefusing: () => this.#isRefusing,
      countRun: (workspace) => this.#countRun(workspace),
    };
  }

  #createListReader(platform: PlatformCalls): ListReader {
    const { timer, journal, settings } = this.#options;
    return new ListReader({
      platform,
      directory: this.#directory,
      timer,
      journal,
      callsPerS: settings.platformCallsPerS,
      instances: () => this.#instances,
      isReader: () => this.#mesh.isLeader,
      tell: (listed) => this.#mesh.broadcastNotice(listed),
    });
  }

  #reportUsage(): void {
    const { platform, settings, timer, journal } = this.#options;
    const { usageWindowS: windowS, dutyPauseMs: pauseMs } = settings;
    const registry = this.#registry;
    if (!registry || !platform || windowS === undefined) return;
    const parts = { registry, mesh: this.#mesh, platform, timer, journal, windowS, pauseMs };
    this.store.add(new UsageReporter({ ...parts, usage: this.#usage, clock: this.#clock }));
  }

  #countRun(workspace: WorkspaceName | undefined): void {
    const { usageWindowS } = this.#options.settings;
    if (workspace === undefined || usageWindowS === undefined) return;
    const window = Math.floor(this.#clock.now() / 1000 / usageWindowS);
    this.#usage.countRequest(this.#source, window, workspace);
  }

  #apply({ version, body }: StoredConfiguration): void {
    const { wire, journal } = this.#options;
    const decoded = wire.decodeConfiguration(inflateRawSync(body).toString('utf8'));
    if (decoded.isErr()) {
      journal.record(gatewayEvents.tableRefused, { version, reason: decoded.error.message });
      return;
    }
    this.#table = new RoutingTable(decoded.value);
    this.#front.limit(decoded.value.limits);
    const { routes, pools } = decoded.value;
    const sizes = { routes: routes.length, pools: pools.length };
    journal.record(gatewayEvents.tableReplaced, { version, ...sizes });
    this.#noteReadiness();
  }

  #isReady(): boolean {
    this.#noteReadiness();
    return this.#wasReady;
  }

  #noteReadiness(): void {
    const isInformed = this.#table !== undefined && this.#directory.isKnown;
    if (isInformed) this.#gate.release();
    const isReady = !this.#isStopping && isInformed;
    if (isReady === this.#wasReady) return;
    this.#wasReady = isReady;
    this.#options.journal.record(gatewayEvents.readinessChanged, {
      isReady,
      isStopping: this.#isStopping,
      version: this.#table?.version,
      listAgeMs: Math.round(this.#directory.ageMs),
    });
  }
}
