import type { Journal, Metrics, Timer } from '@berylwood/base';
import type { IncarnationId } from '@berylwood/schema';

/** Services and identity shared by all roles of a process. @internal */
export interface ProcessContext {
  readonly timer: Timer;
  readonly journal: Journal;
  readonly metrics: Metrics;
  readonly incarnation: IncarnationId;
}
