import { Failure, type Journal, type Metrics, type Timer } from '@berylwood/base';
import type { Scheduler } from '@berylwood/policy';
import {
  requestCodes,
  type AttemptId,
  type EndpointId,
  type RequestId,
  type SidecarMessage,
} from '@berylwood/schema';
import type { EndpointTable, SidecarLink } from './EndpointTable';
import { entryEvents } from './events';
import type { Exchange } from './Exchange';

/** Options of a dispatcher. @internal */
export interface DispatcherOptions {
  readonly timer: Timer;
  readonly journal: Journal;
  readonly metrics: Metrics;
  readonly scheduler: Scheduler;
  readonly endpoints: EndpointTable;
}

const MIN_WAKE_MS = 1;

/** Carries out the scheduler's decisions and routes sidecars' messages to exchanges. @internal */
export class Dispatcher implements Disposable {
  readonly #options: DispatcherOptions;

  readonly #exchanges = new Map<RequestId, Exchange>();

  readonly #byAttempt = new Map<AttemptId, Exchange>();

  #wake: Disposable | undefined;

  #isDeciding = false;

  constructor(options: DispatcherOptions) {
    this.#options = options;
    const { endpoints, scheduler, timer } = options;
    endpoints.onMessage = (endpoint, _, message) => this.#receive(endpoint, message);
    endpoints.onLink = (endpoint, link) => this.#relink(endpoint, link);
    endpoints.onChange = () => {
      scheduler.setCandidates(endpoints.candidates, timer.now());
      this.decide();
    };
  }

  /** Requests that wait or run. */
  get openCount(): number {
    return this.#exchanges.size;
  }

  /** Takes over a request until its exchange has ended. */
  submit(exchange: Exchange): void {
    const { timer, scheduler, journal } = this.#options;
    const { request, job } = exchange.order;
    this.#exchanges.set(request, exchange);
    exchange.onEnd = (outcome, failure) => this.#end(exchange, outcome, failure);
    exchange.onProgress = (tokens) => scheduler.progressed(request, tokens, timer.now());
    exchange.response.once('close', () => this.#callerClosed(exchange));
    const { workspace, tier } = job;
    journal.record(entryEvents.requestArrived, { request, workspace, class: job.class, tier });
    scheduler.offer(job, timer.now());
    this.decide();
  }

  /** Carries out what the scheduler decides now. */
  decide(): void {
    if (this.#isDeciding) return;
    this.#isDeciding = true;
    const { scheduler, timer } = this.#options;
    for (const decision of scheduler.decide(timer.now())) {
      const exchange = this.#exchanges.get(decision.request);
      if (!exchange) continue;
      if (decision.type === 'dispatch') this.#dispatch(exchange, decision.endpoint);
      else {
        const { code, retryAfterMs } = decision;
        exchange.fail(new Failure(code, code.meaning, { retryAfterMs }));
      }
    }
    this.#isDeciding = false;
    this.#armWake();
  }

  [Symbol.dispose](): void {
    this.#wake?.[Symbol.dispose]();
  }

  #armWake(): void {
    const { scheduler, timer } = this.#options;
    this.#wake?.[Symbol.dispose]();
    const at = scheduler.nextAt(timer.now());
    if (at === undefined) return;
    this.#wake = timer.after(Math.max(MIN_WAKE_MS, at - timer.now()), () => this.decide());
  }

  #dispatch(exchange: Exchange, endpoint: EndpointId): void {
    const { endpoints, timer, journal } = this.#options;
    const link = endpoints.linkTo(endpoint);
    const member = endpoints.memberOf(endpoint);
    if (!link || !member) {
      exchange.fail(new Failure(requestCodes.noEndpoint, 'the endpoint has just gone'));
      return;
    }
    exchange.dispatch(endpoint, member.incarnation, link, timer.now());
    const { attempt, order } = exchange;
    if (attempt) this.#byAttempt.set(attempt, exchange);
    journal.record(entryEvents.requestDispatched, { request: order.request, attempt, endpoint });
  }

  #receive(endpoint: EndpointId, message: SidecarMessage): void {
    const { scheduler, timer } = this.#options;
    switch (message.type) {
      case 'hello':
        break;
      case 'load':
        scheduler.reported({ endpoint, load: message.load, at: timer.now() });
        this.decide();
        break;
      case 'cache':
        scheduler.cacheChanged(endpoint, message.events, timer.now());
        break;
      default:
        this.#byAttempt.get(message.attempt)?.receive(message);
    }
  }

  /** A new link to a sidecar: answers in progress go on over it. */
  #relink(endpoint: EndpointId, link: SidecarLink): void {
    for (const exchange of this.#byAttempt.values()) {
      if (exchange.endpoint === endpoint) exchange.resume(link);
    }
  }

  #callerClosed(exchange: Exchange): void {
    if (exchange.hasEnded) return;
    const { request } = exchange.order;
    this.#options.journal.record(entryEvents.callerGone, { request });
    exchange.abandon();
    this.#options.scheduler.withdraw(request, this.#options.timer.now());
    this.#forget(exchange, 'cancelled');
  }

  #end(exchange: Exchange, outcome: 'completed' | 'failed', failure?: Failure): void {
    const { journal, timer, metrics } = this.#options;
    const { request, job } = exchange.order;
    const event = outcome === 'completed' ? entryEvents.requestEnded : entryEvents.requestFailed;
    const durationMs = Math.round(timer.now() - job.arrivedAt);
    journal.record(event, { request, code: failure?.code.number, durationMs });
    metrics
      .counter('requests_total', 'Requests by class and outcome.', ['class', 'outcome'])
      .inc({ class: job.class, outcome: failure?.code.name ?? 'completed' });
    this.#forget(exchange, outcome);
  }

  #forget(exchange: Exchange, outcome: 'completed' | 'cancelled' | 'failed'): void {
    const { request } = exchange.order;
    this.#exchanges.delete(request);
    if (exchange.attempt) this.#byAttempt.delete(exchange.attempt);
    const ending = { request, outcome, answerTokens: exchange.tokens };
    this.#options.scheduler.ended(ending, this.#options.timer.now());
    this.decide();
  }
}
