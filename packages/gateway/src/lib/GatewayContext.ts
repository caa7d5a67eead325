import type { Journal, Metrics, Random, Timer } from '@berylwood/base';
import type { EndpointDirectory } from './EndpointDirectory';
import type { RequestLog } from './RequestLog';
import type { RetryBudgets } from './RetryBudgets';
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
  readonly budgets: RetryBudgets;
  readonly dataCentre: string;
  readonly startGate: StartGate;
  /** The routing table in force, if any. */
  readonly table: () => RoutingTable | undefined;
  /** Whether connections are closed after their present answer. */
  readonly isStopping: () => boolean;
  /** Whether requests that arrive now are refused, since the process ends soon. */
  readonly isRejecting: () => boolean;
  /** Counts a request that an endpoint has begun to run. */
  readonly countStartedRequest: (workspace: WorkspaceName | undefined) => void;
}
