import { fail, type Failure, type Journal, type Timer } from '@berylwood/base';
import type { Ledger } from '@berylwood/ledger';
import { ok, type Result } from 'neverthrow';
import { controlCodes } from './codes';
import { controlEvents } from './events';
import type { Leadership } from './Leadership';
import type { Publisher } from './Publisher';

/** Whether a committed change is in force everywhere. @public */
export interface InForceReport {
  readonly index: number;
  readonly revision: number;
  readonly inForce: boolean;
  /** Processes that may still use an older state. */
  readonly pending: string[];
}

/** Options of the monitor. @public */
export interface InForceMonitorOptions {
  readonly timer: Timer;
  readonly journal: Journal;
  readonly ledger: Ledger;
  readonly leadership: Leadership;
  readonly publisher: Publisher;
}

const POLL_MS = 20;

/** Determines when no node can still use a state older than a change. @public */
export class InForceMonitor {
  readonly #options: InForceMonitorOptions;

  constructor(options: InForceMonitorOptions) {
    this.#options = options;
  }

  /** Waits until the index is in force everywhere, for at most `timeoutMs`. */
  async wait(index: number, timeoutMs: number): Promise<Result<InForceReport, Failure>> {
    const { timer, journal, leadership } = this.#options;
    const deadline = timer.now() + timeoutMs;
    for (;;) {
      if (!leadership.mayAct()) return fail(controlCodes.notLeader, 'leadership is changing');
      const pending = this.#pending(index);
      if (pending.length === 0) journal.record(controlEvents.changeInForce, { index });
      if (pending.length === 0 || timer.now() >= deadline) return ok(this.#report(index, pending));
      await timer.sleep(POLL_MS);
    }
  }

  #pending(index: number): string[] {
    const { ledger, publisher } = this.#options;
    if (index > ledger.feed.index) return ['the control group itself'];
    return publisher.pendingNodes(index);
  }

  #report(index: number, pending: string[]): InForceReport {
    const { revision } = this.#options.ledger.feed;
    return { index, revision, inForce: pending.length === 0, pending };
  }
}
