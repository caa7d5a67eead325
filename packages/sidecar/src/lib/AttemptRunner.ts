import type { Code, Journal, NotRun, Timer } from '@berylwood/base';
import { noWork, requestCodes, type Work } from '@berylwood/schema';
import type { Attempt } from './Attempt';
import type { AttemptEvent } from './attemptMachine';
import { EndpointError, type Endpoint, type EndpointFault } from './Endpoint';
import { sidecarEvents } from './events';
import type { Meter } from './Meter';
import type { OutcomeReporter } from './OutcomeReporter';

/** Options of an attempt runner. @internal */
export interface AttemptRunnerOptions {
  readonly endpoint: Endpoint;
  readonly meter: Meter;
  readonly reporter: OutcomeReporter;
  readonly timer: Timer;
  readonly journal: Journal;
}

const EVENT_BY_FAULT: Record<EndpointFault, AttemptEvent> = {
  unreached: 'unreached',
  crashed: 'crash',
  failed: 'fail',
};

const CODE_BY_NOT_RUN: Record<`${NotRun}`, Code> = {
  true: requestCodes.endpointUnreached,
  false: requestCodes.endpointFailed,
  unknown: requestCodes.outcomeUnknown,
};

/** Runs attempts on the endpoint, meters them and reports their outcomes. @internal */
export class AttemptRunner {
  readonly #options: AttemptRunnerOptions;

  constructor(options: AttemptRunnerOptions) {
    this.#options = options;
  }

  /** Resolves when the run on the endpoint has ended. Never rejects. */
  async run(attempt: Attempt): Promise<void> {
    const { endpoint, reporter } = this.#options;
    const { dispatch, lifecycle } = attempt;
    lifecycle.send('start');
    try {
      const work = await endpoint.run(dispatch, attempt, attempt.abort.signal);
      this.#complete(attempt, work);
    } catch (error) {
      this.#fail(attempt, error);
    }
    reporter.settle(attempt);
  }

  #complete(attempt: Attempt, work: Work): void {
    const { meter, journal, reporter } = this.#options;
    const { dispatch, lifecycle } = attempt;
    if (!lifecycle.send('end')) return;
    attempt.complete(work, meter.record(dispatch, work, true));
    if (dispatch.isSuspect) reporter.clear(dispatch.fingerprint);
    const { request, attempt: id } = dispatch;
    journal.record(sidecarEvents.attemptEnded, { request, attempt: id, ...work });
  }

  #fail(attempt: Attempt, error: unknown): void {
    const { meter, journal, reporter } = this.#options;
    const { dispatch, lifecycle } = attempt;
    const fault = error instanceof EndpointError ? error.fault : 'failed';
    const work = error instanceof EndpointError ? error.work : noWork;
    // If the endpoint failed because the attempt was cancelled, the state is already final.
    if (!lifecycle.isFinal && !lifecycle.send(EVENT_BY_FAULT[fault])) lifecycle.send('fail');
    const crashed = fault === 'crashed' && lifecycle.state !== 'cancelled';
    if (crashed) reporter.suspect(dispatch.fingerprint);
    const sequence = meter.record(dispatch, work, false);
    const { notRun } = lifecycle.note;
    const isAbandoned = lifecycle.state === 'cancelled';
    const code = (isAbandoned ? requestCodes.callerTooSlow : CODE_BY_NOT_RUN[`${notRun}`]).number;
    attempt.fail({ code, message: String(error), notRun, work, sequence, crashed });
    const { request, attempt: id } = dispatch;
    journal.record(sidecarEvents.attemptFailed, { request, attempt: id, error: String(error) });
  }
}
