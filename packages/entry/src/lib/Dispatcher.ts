import { Failure, type Journal, type Metrics, type Timer } from '@berylwood/base';
import { CLOCK_RATE_BOUND, FRESHNESS_MS } from '@berylwood/feed';
import type { Scheduler } from '@berylwood/policy';
import {
  requestCodes,
  type AttemptId,
  type EndpointId,
  type KeyId,
  type RequestId,
  type SidecarMessage,
} from '@berylwood/schema';
import type { Admission } from './Admission';
import type { ClaimClient } from './ClaimClient';
import { ClaimRun } from './ClaimRun';
import type { EndpointTable } from './EndpointTable';
import { entryEvents } from './events';
import type { Exchange, AttemptFailure } from './Exchange';
import { pinSuspect, suitableEndpoints } from './pinSuspect';
import type { Recovery } from './Recovery';

/** Options of a dispatcher. @internal */
export interface DispatcherOptions {
  readonly timer: Timer;
  readonly journal: Journal;
  readonly metrics: Metrics;
  readonly scheduler: Scheduler;
  readonly endpoints: EndpointTable;
  readonly claims: ClaimClient;
  readonly recovery: Recovery;
  readonly admission: Admission;
  /** Whether new work may be started now. */
  readonly mayStart: () => boolean;
}

/** States in which a request has no attempt in flight. */
const STATES_WITHOUT_ATTEMPT = new Set(['waiting', 'deferred', 'lost', 'broken']);

/** Maximum time to wait until a suspicion is committed, in milliseconds. */
const SUSPICION_TIMEOUT_MS = 3000;

const SUSPICION_POLL_INTERVAL_MS = 20;

const MIN_DECISION_DELAY_MS = 1;
const KEEP_ALIVE_INTERVAL_MS = 1000;

type Outcome = 'completed' | 'cancelled' | 'refused' | 'failed';

/** Carries out the scheduler's decisions and routes sidecars' messages to exchanges. @internal */
export class Dispatcher implements Disposable {
  readonly #options: DispatcherOptions;

  readonly #exchanges = new Map<RequestId, Exchange>();

  readonly #byAttempt = new Map<AttemptId, Exchange>();

  readonly #keepAliveTimer: Disposable;

  #decisionTimer: Disposable | undefined;

  #isDeciding = false;

  constructor(options: DispatcherOptions) {
    this.#options = options;
    const { endpoints, scheduler, timer } = options;
    endpoints.onMessage = (endpoint, message) => this.#receive(endpoint, message);
    endpoints.onConnected = (connection) =>
      this.#forEachOnEndpoint(connection.endpoint, (item) => item.attach(connection));
    endpoints.onLinkLost = (endpoint, link) => {
      this.#forEachOnEndpoint(endpoint, (exchange) => exchange.detach(link));
    };
    endpoints.onChange = () => {
      scheduler.setCandidates(endpoints.candidates, timer.now());
      this.decide();
    };
    this.#keepAliveTimer = timer.every(KEEP_ALIVE_INTERVAL_MS, () => {
      for (const { writer } of this.#exchanges.values()) writer.keepAlive();
    });
  }

  /** Number of requests that are waiting or running. */
  get openCount(): number {
    return this.#exchanges.size;
  }

  get openIds(): RequestId[] {
    return [...this.#exchanges.keys()];
  }

  /** Registers a request and manages it until its exchange has ended. */
  submit(exchange: Exchange): void {
    const { timer, scheduler, journal } = this.#options;
    const { request, job } = exchange.order;
    this.#exchanges.set(request, exchange);
    exchange.onEnd = (outcome, failure) => this.#end(exchange, outcome, failure);
    exchange.onAttemptFailed = (attemptFailure) => this.#recover(exchange, attemptFailure);
    exchange.onProgress = (tokens) => scheduler.progressed(request, tokens, timer.now());
    exchange.onState = () => this.#armTimeout(exchange);
    exchange.response.once('close', () => this.#callerClosed(exchange));
    const { workspace, tier } = job;
    journal.record(entryEvents.requestArrived, { request, workspace, class: job.class, tier });
    this.#offer(exchange);
  }

  /** Runs the scheduler and carries out its decisions. */
  decide(): void {
    if (this.#isDeciding || !this.#options.mayStart()) return;
    this.#isDeciding = true;
    const { scheduler, timer } = this.#options;
    for (const decision of scheduler.decide(timer.now())) {
      const exchange = this.#exchanges.get(decision.request);
      if (!exchange) continue;
      if (decision.type === 'dispatch') this.#start(exchange, decision.endpoint);
      else {
        const { code, retryAfterMs } = decision;
        exchange.fail(new Failure(code, code.meaning, { retryAfterMs }));
      }
    }
    this.#isDeciding = false;
    this.#armDecisionTimer();
  }

  /** Fails matching requests that have no attempt in flight and have not crashed an endpoint. */
  rejectWaiting(failure: Failure, matches: (exchange: Exchange) => boolean): void {
    for (const exchange of [...this.#exchanges.values()]) {
      const isWaiting =
        STATES_WITHOUT_ATTEMPT.has(exchange.lifecycle.state) && exchange.crashes === 0;
      if (isWaiting && matches(exchange)) exchange.fail(failure);
    }
  }

  /**
   * Applies withdrawn keys. Requests that were never dispatched are rejected, requests to engines
   * end with an error, and calls of plain services run to completion.
   */
  withdrawKeys(isValid: (key: KeyId) => boolean): void {
    const { keyRefused, keyWithdrawn } = requestCodes;
    for (const exchange of [...this.#exchanges.values()]) {
      const { identity, job } = exchange.order;
      if (isValid(identity.record.key)) continue;
      const hasStarted = exchange.attempts > 0;
      if (!hasStarted) exchange.fail(new Failure(keyRefused, keyRefused.meaning));
      else if (job.kind === 'engine') {
        exchange.fail(new Failure(keyWithdrawn, keyWithdrawn.meaning));
      }
    }
  }

  [Symbol.dispose](): void {
    this.#keepAliveTimer[Symbol.dispose]();
    this.#decisionTimer?.[Symbol.dispose]();
  }

  #armDecisionTimer(): void {
    const { scheduler, timer } = this.#options;
    this.#decisionTimer?.[Symbol.dispose]();
    const at = scheduler.nextAt(timer.now());
    if (at === undefined) return;
    this.#decisionTimer = timer.after(Math.max(MIN_DECISION_DELAY_MS, at - timer.now()), () =>
      this.decide(),
    );
  }

  #armTimeout(exchange: Exchange): void {
    exchange.timeout?.[Symbol.dispose]();
    const { limitMs } = exchange.lifecycle.note;
    exchange.timeout =
      limitMs === undefined
        ? undefined
        : this.#options.timer.after(limitMs, () => this.#expire(exchange));
  }

  #expire(exchange: Exchange): void {
    const isRevokeUnanswered = exchange.lifecycle.state === 'revoking';
    if (isRevokeUnanswered && exchange.connection)
      this.#options.endpoints.suspect(exchange.connection.endpoint);
    exchange.expire();
  }

  #offer(exchange: Exchange): void {
    const { scheduler, endpoints, timer } = this.#options;
    const { order } = exchange;
    if (order.job.isSuspect) {
      const avoid = pinSuspect(order.job, order.fingerprint, endpoints.candidates);
      scheduler.offer({ ...order.job, avoid }, timer.now());
    } else scheduler.offer(order.job, timer.now());
    this.decide();
  }

  #start(exchange: Exchange, endpoint: EndpointId): void {
    const { order, hasClaim } = exchange;
    if (order.idempotent || hasClaim) this.#dispatch(exchange, endpoint);
    else {
      const { claims } = this.#options;
      const run = new ClaimRun(claims, exchange, () => this.#dispatch(exchange, endpoint));
      run.start(endpoint).catch(() => {});
    }
  }

  #dispatch(exchange: Exchange, endpoint: EndpointId): void {
    const { endpoints, timer, journal, recovery, mayStart } = this.#options;
    const connection = mayStart() ? endpoints.connectionTo(endpoint) : undefined;
    const { order, attempt } = exchange;
    if (!connection) {
      const failure = new Failure(requestCodes.noEndpoint, 'the endpoint has just gone');
      exchange.defer(failure);
      return;
    }
    if (exchange.attempts === 0) recovery.recordRequest();
    this.#byAttempt.set(attempt, exchange);
    exchange.dispatch(connection, timer.now());
    const { request } = order;
    const { workspace } = order.job;
    journal.record(entryEvents.requestDispatched, { request, workspace, attempt, endpoint });
  }

  #receive(endpoint: EndpointId, message: SidecarMessage): void {
    const { scheduler, timer } = this.#options;
    switch (message.type) {
      case 'hello':
        break;
      case 'load':
        scheduler.loadReported({ endpoint, load: message.load, at: timer.now() });
        this.decide();
        break;
      case 'cache':
        scheduler.cacheChanged(endpoint, message.events, timer.now());
        break;
      default: {
        const exchange = this.#byAttempt.get(message.attempt);
        if (exchange?.connection?.endpoint === endpoint) exchange.receive(message);
        else this.#countDiscarded();
      }
    }
  }

  /** Counts a message on an attempt that has ended or is not on the sending endpoint. */
  #countDiscarded(): void {
    this.#options.metrics
      .counter('discarded_messages_total', 'Messages on attempts that have ended.')
      .inc();
  }

  #forEachOnEndpoint(endpoint: EndpointId, visit: (exchange: Exchange) => void): void {
    for (const exchange of [...this.#byAttempt.values()]) {
      if (exchange.connection?.endpoint === endpoint) visit(exchange);
    }
  }

  #recover(exchange: Exchange, attemptFailure: AttemptFailure): void {
    const { recovery, timer, scheduler, journal } = this.#options;
    const { request } = exchange.order;
    this.#byAttempt.delete(exchange.attempt);
    const outcome = exchange.lifecycle.state === 'deferred' ? 'refused' : 'failed';
    scheduler.ended({ request, outcome, answerTokens: exchange.tokens }, timer.now());
    const decision = recovery.decide(exchange, attemptFailure, timer.now());
    if (decision.type === 'fail') {
      this.#fail(exchange, decision.failure, timer.now());
      return;
    }
    const code = attemptFailure.failure.code.number;
    journal.record(entryEvents.requestRetried, { request, attempt: exchange.attempt, code });
    timer.after(decision.delayMs, () => this.#retry(exchange, decision.isSuspect));
    this.decide();
  }

  /**
   * Fails a request. After a crash, waits until every entry that accepts requests has received the
   * suspicion: a resend through another entry would otherwise run as an unsuspected request.
   */
  #fail(exchange: Exchange, failure: Failure, since: number): void {
    const { admission, timer } = this.#options;
    const waited = timer.now() - since;
    const isPropagated = waited >= SUSPICION_TIMEOUT_MS || admission.isSuspected(exchange.order);
    if (exchange.crashes === 0) exchange.fail(failure);
    else if (isPropagated)
      timer.after(FRESHNESS_MS * (1 + CLOCK_RATE_BOUND), () => exchange.fail(failure));
    else timer.after(SUSPICION_POLL_INTERVAL_MS, () => this.#fail(exchange, failure, since));
  }

  #retry(exchange: Exchange, isSuspect: boolean): void {
    if (exchange.hasEnded) return;
    const { connection } = exchange;
    const admitted = this.#options.admission.admit(exchange.order);
    if (admitted.isErr()) {
      this.#fail(exchange, admitted.error, this.#options.timer.now());
      return;
    }
    const order = admitted.value;
    const { job } = order;
    const failed =
      connection && !job.avoid.includes(connection.endpoint) ? [connection.endpoint] : [];
    const avoid = [...job.avoid, ...failed];
    const open = suitableEndpoints(job, this.#options.endpoints.candidates);
    const hasAlternative = open.some((endpoint) => !avoid.includes(endpoint));
    exchange.retry({
      ...order,
      job: { ...job, isSuspect: isSuspect || job.isSuspect, avoid: hasAlternative ? avoid : [] },
    });
    this.#offer(exchange);
  }

  #callerClosed(exchange: Exchange): void {
    if (exchange.hasEnded) return;
    const { request } = exchange.order;
    this.#options.journal.record(entryEvents.callerGone, { request });
    const isClaimUnused = exchange.hasClaim && exchange.notRun === true;
    if (isClaimUnused) this.#options.claims.settleNotRun(exchange);
    exchange.abandon();
    this.#options.scheduler.withdraw(request, this.#options.timer.now());
    this.#remove(exchange, 'cancelled');
  }

  #end(exchange: Exchange, outcome: 'completed' | 'failed', failure?: Failure): void {
    const { journal, timer, metrics, scheduler, claims } = this.#options;
    const { request, job } = exchange.order;
    const event = outcome === 'completed' ? entryEvents.requestEnded : entryEvents.requestFailed;
    const durationMs = Math.round(timer.now() - job.arrivedAt);
    const { workspace } = job;
    journal.record(event, { request, workspace, code: failure?.code.number, durationMs });
    metrics
      .counter('requests_total', 'Requests by class and outcome.', ['class', 'outcome'])
      .inc({ class: job.class, outcome: failure?.code.name ?? 'completed' });
    if (failure && exchange.hasClaim) claims.settleFailure(exchange, failure);
    scheduler.withdraw(request, timer.now());
    this.#remove(exchange, outcome);
  }

  #remove(exchange: Exchange, outcome: Outcome): void {
    const { scheduler, timer } = this.#options;
    const { request } = exchange.order;
    exchange.timeout?.[Symbol.dispose]();
    this.#exchanges.delete(request);
    this.#byAttempt.delete(exchange.attempt);
    scheduler.ended({ request, outcome, answerTokens: exchange.tokens }, timer.now());
    this.decide();
  }
}
