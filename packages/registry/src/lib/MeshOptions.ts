import type { Journal, Metrics, Timer } from '@berylwood/base';
import type { FleetClock } from './FleetClock';
import type { OperatorListener } from './OperatorListener';
import type { Registry } from './Registry';
import type { UsageLedger } from './UsageLedger';

/** Options of the mesh of one instance. @public */
export interface MeshOptions {
  /** Address at which other instances reach this one, `IP:PORT`. */
  readonly address: string;
  /** Listener for operators of this instance; undefined without one, or if the rate of its link is not known. */
  readonly operators: OperatorListener | undefined;
  /** Source of this instance's usage counts: the instance and its incarnation. */
  readonly source: string;
  /** Initial addresses to dial; they may be out of date. */
  readonly seeds: () => readonly string[];
  /** Replica of this instance; undefined on an instance without a disk. */
  readonly registry: Registry | undefined;
  /** Directory of the origins of streams; undefined on an instance without a disk. */
  readonly originDirectory: string | undefined;
  /** Number of disks that may be lost at the same time. */
  readonly tolerance: number;
  readonly clock: FleetClock;
  readonly usage: UsageLedger;
  readonly timer: Timer;
  readonly journal: Journal;
  readonly metrics: Metrics;
}
