import { DisposableStore, type Journal, type Timer } from '@berylwood/base';
import type { FleetClock, Mesh, Registry, UsageLedger } from '@berylwood/registry';
import { gatewayCodes } from './codes';
import { gatewayEvents } from './events';
import type { PlatformCalls } from './Wire';

/** @internal */
export interface UsageReporterOptions {
  readonly registry: Registry;
  readonly mesh: Mesh;
  readonly usage: UsageLedger;
  readonly clock: FleetClock;
  readonly platform: PlatformCalls;
  readonly timer: Timer;
  readonly journal: Journal;
  readonly windowS: number;
  /** Time for which a new leader does not report, in milliseconds. */
  readonly pauseMs: number;
}

/** Time after a window's end for the last counts of all instances to arrive, in milliseconds. */
const MIN_SETTLE_MS = 2000;

/**
 * Maximum wait for the counts of a partitioned instance after a window's end, in milliseconds. Reports
 * are due ten seconds after the window.
 */
const MAX_SETTLE_MS = 8500;

/** Time after a window's end from which an instance's counts include the complete window, in milliseconds. */
const REPORT_MARGIN_MS = 500;

const TICK_MS = 500;

/** Number of windows that a new leader reports again, as earlier reports may not have arrived. */
const REREPORTED_WINDOWS = 3;

/** Maximum number of overdue windows that are closed after a time without a leader. */
const MAX_OVERDUE_WINDOWS = 12;

/**
 * Reports the usage of each window to the platform, on the leader only. The counts are frozen in the
 * replicated log before the first report, so that all reports of a window are equal, whichever leader
 * sends them.
 * @internal
 */
export class UsageReporter implements Disposable {
  readonly #options: UsageReporterOptions;

  readonly #store = new DisposableStore();

  readonly #firstWindow: number;

  /** Windows reported in the current term. */
  #reported = new Set<number>();

  #term = 0;

  /** Term in which the platform rejected a report because it had seen a higher fence. */
  #fencedTerm = -1;

  #isBusy = false;

  constructor(options: UsageReporterOptions) {
    this.#options = options;
    this.#firstWindow = this.#windowAt(options.clock.now());
    this.#store.add(options.timer.every(TICK_MS, () => this.#tick()));
  }

  [Symbol.dispose](): void {
    this.#store[Symbol.dispose]();
  }

  #windowAt(timeMs: number): number {
    return Math.floor(timeMs / 1000 / this.#options.windowS);
  }

  #tick(): void {
    const { registry, pauseMs, journal } = this.#options;
    if (!registry.isLeader || registry.leadershipMs < pauseMs || this.#isBusy) return;
    const { term } = registry;
    if (term === this.#fencedTerm) return;
    if (term !== this.#term) {
      this.#term = term;
      this.#reported = new Set();
    }
    this.#isBusy = true;
    this.#closeAndReport(term)
      .catch((error: unknown) => {
        journal.record(gatewayEvents.usageFailed, { error: String(error) });
      })
      .finally(() => {
        this.#isBusy = false;
      });
  }

  async #closeAndReport(term: number): Promise<void> {
    await this.#closeWindows();
    await this.#reportWindows(term);
  }

  async #closeWindows(): Promise<void> {
    const { registry, clock, usage } = this.#options;
    const last = this.#windowAt(clock.now() - MIN_SETTLE_MS) - 1;
    const closed = registry.stateMachine.lastClosedWindow;
    const from = closed < 0 ? this.#firstWindow : Math.max(closed + 1, last - MAX_OVERDUE_WINDOWS);
    for (let window = from; window <= last; window += 1) {
      if (!this.#isSettled(window)) return;
      const counts = JSON.stringify(usage.total(window));
      const frozen = await registry.closeWindow(window, counts);
      if (frozen.isErr()) return;
    }
  }

  async #reportWindows(term: number): Promise<void> {
    const { registry } = this.#options;
    const latest = [...registry.stateMachine.windows].slice(-REREPORTED_WINDOWS);
    const due = latest.filter(([window]) => !this.#reported.has(window));
    for (const [window, counts] of due) {
      if (!registry.isLeader || registry.term !== term) return;
      await this.#report(window, counts, term);
    }
  }

  /** Whether all instances have sent their counts of a window, or the maximum wait has passed. */
  #isSettled(window: number): boolean {
    const { mesh, clock, windowS } = this.#options;
    const endMs = (window + 1) * windowS * 1000;
    return mesh.haveAllReported(endMs + REPORT_MARGIN_MS) || clock.now() - endMs >= MAX_SETTLE_MS;
  }

  async #report(window: number, counts: string, fence: number): Promise<void> {
    const { platform, journal } = this.#options;
    const parsed = JSON.parse(counts) as Record<string, number>;
    const result = await platform.reportUsage(window, parsed, fence);
    if (result.isOk()) {
      this.#reported.add(window);
      journal.record(gatewayEvents.usageReported, { window, fence, counts });
      return;
    }
    const { code, message } = result.error;
    journal.record(gatewayEvents.usageFailed, { window, fence, message });
    if (code === gatewayCodes.fenceOutdated) this.#fencedTerm = fence;
  }
}
