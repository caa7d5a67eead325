import type { Journal, Timer } from '@berylwood/base';
import type { Subscription } from '@berylwood/feed';
import type { EndpointId, IncarnationId, NodeCall } from '@berylwood/schema';
import type { Attempt } from './Attempt';
import { sidecarEvents } from './events';

/** Options of an outcome reporter. @internal */
export interface OutcomeReporterOptions {
  readonly subscription: Pick<Subscription, 'call'>;
  readonly timer: Timer;
  readonly journal: Journal;
  readonly endpoint: EndpointId;
  readonly incarnation: IncarnationId;
}

type Report = Extract<NodeCall, { type: 'settle' | 'suspect' | 'clear' }>;

/** Time for which attempts that one crash interrupted are batched into one report. */
const CRASH_BATCH_MS = 20;

const RETRY_DELAY_MS = 200;

/** Maximum number of reports kept while no control replica replies; the oldest are dropped first. */
const MAX_PENDING_REPORTS = 10_000;

/** Maximum number of fingerprints in one report. */
const MAX_FINGERPRINTS = 64;

/**
 * Reports outcomes of calls with a claim, suspects and cleared fingerprints to the control group.
 * @internal
 */
export class OutcomeReporter implements Disposable {
  readonly #options: OutcomeReporterOptions;

  #pending: Report[] = [];

  #suspects = new Set<string>();

  #isSending = false;

  #crashes = 0;

  #isDisposed = false;

  constructor(options: OutcomeReporterOptions) {
    this.#options = options;
  }

  /** Number of reports that the control group has not confirmed. */
  get pendingCount(): number {
    return this.#pending.length + this.#suspects.size;
  }

  /** Reports a request as suspect because the endpoint crashed while it ran it. */
  suspect(fingerprint: string): void {
    if (this.#suspects.size === 0) {
      this.#options.timer.after(CRASH_BATCH_MS, () => this.#reportSuspects());
    }
    this.#suspects.add(fingerprint);
  }

  /** Reports that a suspect has run to completion. */
  clear(fingerprint: string): void {
    this.#add({ type: 'clear', fingerprint });
  }

  /** Reports the outcome of a call with a claim; other attempts are ignored. */
  settle({ dispatch, responseCopy, lifecycle }: Attempt): void {
    if (dispatch.claim === undefined || !responseCopy) return;
    const { notRun } = lifecycle.note;
    const outcomes = { true: 'notRun', false: 'ran', unknown: 'unknown' } as const;
    this.#add({
      type: 'settle',
      workspace: dispatch.workspace,
      idempotencyKey: dispatch.claim,
      request: dispatch.request,
      // An incomplete response does not show whether the call took effect.
      outcome: lifecycle.state === 'whole' ? 'ran' : outcomes[`${notRun}`],
      status: responseCopy.status,
      headers: responseCopy.headers,
      body: responseCopy.body,
    });
  }

  [Symbol.dispose](): void {
    this.#isDisposed = true;
  }

  #reportSuspects(): void {
    const { endpoint, incarnation, journal } = this.#options;
    const fingerprints = [...this.#suspects].slice(0, MAX_FINGERPRINTS);
    this.#suspects = new Set();
    journal.record(sidecarEvents.endpointCrashed, { endpoint, suspects: fingerprints.length });
    this.#crashes += 1;
    const crash = `${incarnation}-${this.#crashes}`;
    this.#add({ type: 'suspect', endpoint, incarnation, fingerprints, crash });
  }

  #add(report: Report): void {
    this.#pending.push(report);
    if (this.#pending.length > MAX_PENDING_REPORTS) this.#pending.shift();
    this.#send().catch(() => {});
  }

  async #send(): Promise<void> {
    if (this.#isSending) return;
    this.#isSending = true;
    while (this.#pending[0] && !this.#isDisposed) {
      const [report] = this.#pending;
      const answer = await this.#options.subscription.call(report);
      if (answer.isOk()) this.#pending.shift();
      else await this.#options.timer.sleep(RETRY_DELAY_MS);
    }
    this.#isSending = false;
  }
}
