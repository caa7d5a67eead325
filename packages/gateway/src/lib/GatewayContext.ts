import type { Journal, Metrics, Random, Timer } from '@berylwood/base';
import type { EndpointDirectory } from './EndpointDirectory';
import type { RequestLog } from './RequestLog';
import type { RepeatBudgets } from './RepeatBudgets';
import type { RoutingTable } from './RoutingTable';
import type { StartGate } from './StartGate';
import type { WorkspaceName } from './ids';
import type { Wire } from './Wire';

/** What all requests of a gateway share. @internal */
export interface GatewayContext {
  readonly wire: Wire;
  readonly timer: Timer;
  readonly random: Random;
  readonly journal: Journal;
  readonly metrics: Metrics;
  readonly log: RequestLog;
  readonly directory: EndpointDirectory;
  readonly budgets: RepeatBudgets;
  readonly dataCentre: string;
  readonly gate: StartGate;
  /** The routing table in force, if any. */
  readonly table: () => RoutingTable | undefined;
  /** Whether connections are closed after their present answer. */
  readonly isStopping: () => boolean;
  /** Whether requests that arrive now are refused, since the process ends soon. */
  readonly isRefusing: () => boolean;
  /** Counts a request that an endpoint has begun to run. */
  readonly countRun: (workspace: WorkspaceName | undefined) => void;
}
