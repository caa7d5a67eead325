import type { ClosedWindow } from '@berylwood/ledger';
import { controlEvents } from './events';
import { REQUEST_DEADLINE_MS } from './PlatformClient';
import { PlatformTask, type PlatformTaskOptions } from './PlatformTask';

const INTERVAL_MS = 100;

/** Time in milliseconds that a window stays open after its end for usage that arrives late. */
const ALLOWED_LATENESS_MS = 1500;

/** Lease time that must remain when a report is sent, so that the request ends within the lease. */
const MIN_LEASE_REMAINING_MS = REQUEST_DEADLINE_MS;

/**
 * Freezes usage windows by a committed command and reports them to the platform while this replica
 * leads under its lease. A report is resent with the same bytes until the platform has accepted it.
 * @public
 */
export class UsageReporter extends PlatformTask {
  constructor(options: PlatformTaskOptions) {
    super(options, INTERVAL_MS);
  }

  protected override async step(): Promise<void> {
    await this.#closeWindows();
    for (const window of this.options.ledger.windows.closed) {
      if (window.state === 'frozen') await this.#report(window);
    }
  }

  async #closeWindows(): Promise<void> {
    const { ledger, proposer, timer, journal } = this.options;
    const { windowMs, frozenUntil } = ledger.windows;
    const at = timer.wall();
    const endsAt = Math.floor((at - ALLOWED_LATENESS_MS) / windowMs) * windowMs;
    if (endsAt <= frozenUntil) return;
    const closed = await proposer.propose({ type: 'closeWindows', at, endsAt });
    if (closed.isOk()) journal.record(controlEvents.windowsClosed, { endsAt });
  }

  async #report({ window, report }: ClosedWindow): Promise<void> {
    const { platform, leadership, journal, proposer, timer } = this.options;
    if (!platform || !leadership.mayAct(MIN_LEASE_REMAINING_MS)) return;
    const { fence } = leadership;
    const answer = await platform.send({
      path: '/usage',
      body: report,
      id: window,
      fence,
      mayWrite: () => leadership.mayAct(MIN_LEASE_REMAINING_MS),
    });
    const isAccepted = answer.isOk() && answer.value.status < 300;
    if (!isAccepted) {
      const reason = answer.isErr() ? answer.error.message : `status ${answer.value.status}`;
      journal.record(controlEvents.reportUnanswered, { window, reason });
      return;
    }
    await proposer.propose({ type: 'windowReported', at: timer.wall(), window, fence });
    journal.record(controlEvents.windowReported, { window, fence });
  }
}
