import type { MeshOptions } from './MeshOptions';
import type { Report } from './MeshMessage';
import { ReportTimes } from './ReportTimes';

/** Windows kept while no leader closes them: ten minutes of five-second windows. */
const MAX_OPEN_WINDOWS = 120;

/** Handles the reports that instances send to this one while it leads the registry. @internal */
export class ReportIntake {
  readonly #options: MeshOptions;

  readonly #times = new ReportTimes();

  constructor(options: MeshOptions) {
    this.#options = options;
  }

  receive({ instance, source, wallMs, windows, isLeaving }: Report): void {
    const { registry, clock, usage } = this.#options;
    if (!registry?.isLeader) return;
    registry.setLeaving(instance, isLeaving === true);
    clock.observe(instance, wallMs);
    this.#times.markReported(instance, clock.now());
    const closed = registry.stateMachine.lastClosedWindow;
    for (const [window, counts] of windows) {
      if (window > closed) usage.mergeCounts(source, window, counts);
    }
  }

  /** Whether all known instances have reported to this leader since `sinceMs`, in fleet time. */
  haveAllReported(sinceMs: number): boolean {
    const { address, registry } = this.#options;
    const otherReplicas = (registry?.members ?? []).filter((member) => member !== address);
    return this.#times.haveAllReported(otherReplicas, sinceMs);
  }

  /** Updates the fleet clock if this instance leads, and discards what is no longer needed. */
  tick(): void {
    const { registry, clock, usage } = this.#options;
    if (registry?.isLeader) {
      clock.applyMedian();
      usage.discardThrough(registry.stateMachine.lastClosedWindow);
      this.#times.removeExpired(clock.now());
    } else this.#times.clear();
    usage.discardThrough(usage.latestWindow - MAX_OPEN_WINDOWS);
  }
}
