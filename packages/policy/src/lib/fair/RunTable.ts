import type { EndpointId, RequestId } from '@berylwood/schema';
import type { JobResult } from '../Job';
import type { Router } from '../routing/Router';
import type { Ticket } from './Ticket';
import type { WorkEstimate } from './WorkEstimate';

/** A dispatched job. */
interface Run {
  readonly ticket: Ticket;
  readonly endpoint: EndpointId;
  readonly sentAt: number;
  readonly isUrgent: boolean;
  /** Work charged to the workspace so far, in tokens. */
  charged: number;
  answerTokens: number;
  progressedAt: number;
}

/**
 * The dispatched jobs of an entry. Their progress updates the router, the work estimates and the
 * work charged to workspaces.
 * @internal
 */
export class RunTable {
  readonly #router: Router;

  readonly #estimate: WorkEstimate;

  readonly #runs = new Map<RequestId, Run>();

  constructor(router: Router, estimate: WorkEstimate) {
    this.#router = router;
    this.#estimate = estimate;
  }

  /** Records the dispatch of a ticket, whose expected work must already be charged. */
  started(ticket: Ticket, endpoint: EndpointId, isUrgent: boolean, now: number): void {
    this.#router.sent(ticket.job, endpoint, isUrgent, now);
    this.#runs.set(ticket.job.request, {
      ticket,
      endpoint,
      sentAt: now,
      isUrgent,
      charged: ticket.work,
      answerTokens: 0,
      progressedAt: now,
    });
  }

  /** Records more of a response; `answerTokens` is the total so far. */
  progressed(request: RequestId, answerTokens: number, now: number): void {
    const run = this.#runs.get(request);
    if (!run || answerTokens <= run.answerTokens) return;
    const { job, pool } = run.ticket;
    if (run.answerTokens === 0) {
      if (!run.isUrgent && pool.isDelayed(now - run.sentAt))
        this.#router.recordQueueDelay(run.endpoint);
      pool.observeTtft(now - run.sentAt);
    } else {
      const msPerToken = (now - run.progressedAt) / (answerTokens - run.answerTokens);
      this.#router.observed(job, run.endpoint, msPerToken, now);
    }
    run.answerTokens = answerTokens;
    run.progressedAt = now;
    const excess = job.promptTokens + answerTokens - run.charged;
    if (excess > 0) RunTable.#charge(run, excess);
  }

  /** Records that a job has left its endpoint. */
  ended({ request, outcome, answerTokens }: JobResult, now: number): void {
    const run = this.#runs.get(request);
    if (!run) return;
    this.#runs.delete(request);
    const { job } = run.ticket;
    const doneTokens = outcome === 'refused' ? 0 : job.promptTokens + answerTokens;
    RunTable.#charge(run, doneTokens - run.charged);
    if (outcome === 'completed') {
      this.#estimate.completed(job, answerTokens);
      if (job.kind === 'service') this.#router.observed(job, run.endpoint, now - run.sentAt, now);
    }
    this.#router.ended(job, run.endpoint, outcome, now);
  }

  static #charge(run: Run, work: number): void {
    run.ticket.pool.charge(run.ticket, work);
    run.charged += work;
  }
}
