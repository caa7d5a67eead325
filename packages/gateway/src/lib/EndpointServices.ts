import {
  DisposableStore,
  type Journal,
  type Metrics,
  type Random,
  type Timer,
} from '@berylwood/base';
import type { Mesh } from '@berylwood/registry';
import { admissionPools } from './admissionPools';
import { EndpointDirectory } from './EndpointDirectory';
import { EndpointGauges } from './EndpointGauges';
import { Evacuations } from './Evacuations';
import { EngineModel } from './EngineModel';
import { EngineModelReport } from './EngineModelReport';
import { EngineSpeedSharing } from './EngineSpeedSharing';
import { FairAdmission } from './FairAdmission';
import type { FaultLog } from './FaultLog';
import { HeldRequests } from './HeldRequests';
import type { PoolName } from './ids';
import { LeaderExchange } from './LeaderExchange';
import { LeavingCheck } from './LeavingCheck';
import { PaceSharing } from './PaceSharing';
import { PermitSharing } from './PermitSharing';
import type { RoutingTable } from './RoutingTable';
import { StreamEngineSharing } from './StreamEngineSharing';
import { StreamEngines } from './StreamEngines';
import type { Wire } from './Wire';

/** @internal */
export interface EndpointServicesOptions {
  readonly wire: Wire;
  readonly mesh: Mesh;
  readonly timer: Timer;
  readonly journal: Journal;
  readonly metrics: Metrics;
  readonly random: Random;
  readonly faults: FaultLog;
  /** Number of instances that share the endpoints. */
  readonly instances: () => number;
  /** The routing table in force, if any. */
  readonly table: () => RoutingTable | undefined;
  /** Whether endpoints are paced after a start or an ejection. */
  readonly paceAfterStart: boolean;
  /** Whether the prefill capacity is divided among workspaces during a shortage. */
  readonly fairAdmission: boolean;
  /** Called when the first list of endpoints is loaded. */
  readonly onLoaded: () => void;
}

/** What an instance knows about the endpoints, and what it exchanges with the others about them. @internal */
export class EndpointServices implements Disposable {
  readonly directory: EndpointDirectory;

  readonly held: HeldRequests;

  readonly evacuations: Evacuations;

  readonly engines: EngineModel;

  readonly streamEngines: StreamEngines;

  /** Undefined unless the settings ask for it. */
  readonly admission: FairAdmission | undefined;

  readonly #options: EndpointServicesOptions;

  readonly #store = new DisposableStore();

  readonly #permits: PermitSharing;

  readonly #streamSharing: StreamEngineSharing;

  readonly #pace: PaceSharing;

  constructor(options: EndpointServicesOptions) {
    this.#options = options;
    const { wire, mesh, timer, journal, metrics, random, faults, instances, table } = options;
    const directory = new EndpointDirectory(timer, journal, random);
    this.directory = directory;
    directory.onLoaded = options.onLoaded;
    directory.instances = instances;
    directory.maxConnections = (pool) => table()?.findPool(pool)?.maxConnections;
    const evacuations = new Evacuations(journal, metrics);
    this.evacuations = evacuations;
    directory.isEvacuated = (dataCentre) => evacuations.has(dataCentre);
    mesh.onEvacuations = (state) => evacuations.apply(state);
    directory.coldStart = (pool) => table()?.findPool(pool)?.coldStart;
    const held = this.#store.add(new HeldRequests({ directory, timer, journal, metrics }));
    this.held = held;
    evacuations.onChanged = () => {
      directory.updateEvacuations();
      held.rejectUnservable();
    };
    evacuations.onEnded = (dataCentre) => directory.dataCentreReturned(dataCentre);
    this.#store.add(new EndpointGauges({ directory, timer, metrics }));
    this.#permits = new PermitSharing({ directory, held, mesh, timer, journal, random });
    directory.hasPermitLeader = () => this.#permits.hasLeader;
    this.engines = this.#store.add(new EngineModel(directory, timer));
    const { engines } = this;
    this.#store.add(new EngineModelReport({ engines, directory, timer, journal, metrics }));
    const exchange = new LeaderExchange();
    mesh.attachments = exchange;
    exchange.add(this.#permits.attachments);
    exchange.add(new EngineSpeedSharing({ engines, directory, timer, journal }));
    const streams = new StreamEngines({ directory, timer, metrics });
    this.streamEngines = streams;
    this.#streamSharing = new StreamEngineSharing({
      ...{ directory, mesh, timer, journal, metrics, table, streams },
    });
    exchange.add(this.#streamSharing.attachments);
    directory.isPaced = options.paceAfterStart;
    const help = 'Endpoints whose pace after a start or an ejection was lifted, by cause';
    const recoveries = metrics.counter('recoveries_total', help, ['cause']);
    directory.onRecovered = (cause) => recoveries.inc({ cause });
    this.#pace = new PaceSharing({ directory, mesh, timer, journal, random });
    exchange.add(this.#pace.attachments);
    const pools = (): ReturnType<typeof admissionPools> => {
      const current = table();
      return current ? admissionPools(current, directory, engines) : [];
    };
    if (options.fairAdmission) {
      this.admission = new FairAdmission({ mesh, timer, journal, metrics, random, pools });
      exchange.add(this.admission.attachments);
    }
    const healthPath = (pool: PoolName): string => table()?.findPool(pool)?.healthPath ?? '/';
    const isChecker = (): boolean => mesh.isLeader;
    const leaving = { directory, wire, timer, journal, faults, healthPath, isChecker };
    this.#store.add(new LeavingCheck(leaving));
  }

  /** Exchanges the work of this instance, and what parts attach to it, with the leader. */
  share(): void {
    this.#permits.startRound();
    this.#streamSharing.startRound();
    this.#pace.startRound();
    this.admission?.startRound();
    this.#options.mesh.publishWork(this.directory.ownWork());
    this.held.endRound();
    this.#pace.endRound();
  }

  [Symbol.dispose](): void {
    this.#store[Symbol.dispose]();
    this.directory[Symbol.dispose]();
  }
}
