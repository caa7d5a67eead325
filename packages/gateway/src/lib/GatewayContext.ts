import type { Journal, Metrics, Random, Timer } from '@berylwood/base';
import type { BodyBudget, ContentQuarantine } from '@berylwood/policy';
import type { StreamOrigins } from '@berylwood/registry';
import type { EndpointDirectory } from './EndpointDirectory';
import type { EngineModel } from './EngineModel';
import type { FairAdmission } from './FairAdmission';
import type { FaultLog } from './FaultLog';
import type { HeldRequests } from './HeldRequests';
import type { RequestLog } from './RequestLog';
import type { RetryBudgets } from './RetryBudgets';
import type { RoutingTable } from './RoutingTable';
import type { StartGate } from './StartGate';
import type { StreamEngines } from './StreamEngines';
import type { WorkspaceName } from './ids';
import type { Wire } from './Wire';

/** Dependencies and state shared by all requests of a gateway. @internal */
export interface GatewayContext {
  readonly wire: Wire;
  readonly timer: Timer;
  readonly random: Random;
  readonly journal: Journal;
  readonly metrics: Metrics;
  readonly log: RequestLog;
  readonly faults: FaultLog;
  readonly directory: EndpointDirectory;
  /** What is learnt about engines. */
  readonly engines: EngineModel;
  readonly budgets: RetryBudgets;
  readonly held: HeldRequests;
  readonly streamEngines: StreamEngines;

  /** Budget of what the instance holds for callers. */
  readonly bodies: BodyBudget;

  /** Budget of what operators, readiness checks and peers send. */
  readonly operatorBodies: BodyBudget;

  /** Division of the prefill capacity among workspaces; undefined unless the settings ask for it. */
  readonly admission: FairAdmission | undefined;
  /** Versions that began streams, known to all instances. */
  readonly origins: Pick<StreamOrigins, 'record' | 'find' | 'findOnlyVersion'>;
  readonly quarantine: ContentQuarantine;
  readonly dataCentre: string;
  readonly startGate: StartGate;
  /** The routing table in force, if any. */
  readonly table: () => RoutingTable | undefined;
  /** Whether connections are closed after the current response. */
  readonly isStopping: () => boolean;
  /** Whether new requests are rejected because the process is about to exit. */
  readonly isRejecting: () => boolean;
  /** Counts a request that an endpoint has started to run, for the usage reports. */
  readonly countStartedRequest: (workspace: WorkspaceName | undefined) => void;
}
