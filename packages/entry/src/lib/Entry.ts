import type { IncomingMessage, ServerResponse } from 'node:http';
import {
  Failure,
  Random,
  Task,
  asId,
  type Journal,
  type Metrics,
  type Timer,
} from '@berylwood/base';
import { Subscription } from '@berylwood/feed';
import { ReadScheduler, type LinkIdentity } from '@berylwood/link';
import { WorkspaceLimiter, type BodyBudget, type Scheduler } from '@berylwood/policy';
import {
  requestCodes,
  type EntrySettings,
  type IncarnationId,
  type ProcessSettings,
} from '@berylwood/schema';
import { ok, type Result } from 'neverthrow';
import { Admission } from './Admission';
import { authenticate, type Identity } from './authenticate';
import { CallerServer } from './CallerServer';
import { CertificateWatch, type CertificateFiles } from './CertificateWatch';
import { checkHeaders } from './checkHeaders';
import { ClaimClient } from './ClaimClient';
import { classify, type Order } from './classify';
import { createScheduler } from './createScheduler';
import { Dispatcher } from './Dispatcher';
import { EndpointTable } from './EndpointTable';
import { entryEvents } from './events';
import { Exchange } from './Exchange';
import { FailureLimiter } from './FailureLimiter';
import { findRoute, type Route } from './findRoute';
import { createBodyBudget } from './createBodyBudget';
import { readBody } from './readBody';
import { Recovery } from './Recovery';
import { sendFailure } from './sendFailure';

/** Options of the entry role. @public */
export interface EntryOptions {
  readonly settings: EntrySettings;
  readonly process: ProcessSettings;
  readonly incarnation: IncarnationId;
  readonly timer: Timer;
  readonly journal: Journal;
  readonly metrics: Metrics;
  readonly identity?: LinkIdentity;
  /** Certificate presented to callers. Without it the entry serves plain HTTP. */
  readonly certificate?: CertificateFiles;
}

const DRAIN_POLL_INTERVAL_MS = 20;

/** Time without freshness after which waiting requests are rejected, in milliseconds. */
const MAX_STALE_HOLD_MS = 3000;

/** Authenticates callers, schedules their requests and relays the responses. @public */
export class Entry extends Task {
  readonly name = 'entry';

  readonly #options: EntryOptions;

  readonly #subscription: Subscription;

  readonly #scheduler: Scheduler;

  readonly #endpoints: EndpointTable;

  readonly #dispatcher: Dispatcher;

  readonly #server: CallerServer;

  readonly #admission: Admission;

  readonly #bodies: BodyBudget;

  readonly #failures: FailureLimiter;

  readonly #limiter: WorkspaceLimiter;

  #isDraining = false;

  #staleTimer: Disposable | undefined;

  constructor(options: EntryOptions) {
    super();
    this.#options = options;
    const { settings, process, timer } = options;
    const random = new Random(Math.floor(Math.random() * 2 ** 31));
    this.#scheduler = createScheduler(settings, process, random);
    this.#subscription = this.store.add(
      new Subscription({
        ...options,
        addresses: settings.control,
        group: process.group,
        process: process.name,
        dataCentre: asId(process.dataCentre),
      }),
    );
    this.#endpoints = this.store.add(new EndpointTable(options));
    this.#admission = new Admission(this.#subscription, timer);
    this.#dispatcher = this.store.add(
      new Dispatcher({
        ...options,
        scheduler: this.#scheduler,
        endpoints: this.#endpoints,
        claims: new ClaimClient(this.#subscription, timer),
        recovery: new Recovery(random),
        admission: this.#admission,
        mayStart: () => this.#subscription.isFresh,
      }),
    );
    this.#bodies = createBodyBudget(options);
    this.#failures = new FailureLimiter(timer);
    this.#limiter = new WorkspaceLimiter(timer.now());
    const { certificate, journal } = options;
    const watch = certificate && new CertificateWatch(certificate, timer, journal);
    if (watch) this.store.add(watch);
    const handlers = {
      serve: (request: IncomingMessage, response: ServerResponse) => this.#serve(request, response),
      isReady: () => this.#subscription.isFresh && !this.#isDraining,
      metrics: () => options.metrics.expose(),
    };
    const pace = {
      timer,
      scheduler: new ReadScheduler(() => timer.now()),
      input: { open: (onEnd: () => void) => this.#bodies.open('request', onEnd) },
    };
    this.#server = new CallerServer(settings, handlers, pace, watch);
  }

  override async start(): Promise<void> {
    const { journal } = this.#options;
    this.#subscription.onChange = () => this.#applyState();
    this.#subscription.onFreshnessChange = (isFresh) => this.#applyFreshness(isFresh);
    this.#subscription.onMembersChange = () => this.#endpoints.update(this.#subscription.members);
    this.#subscription.open();
    const listen = await this.#server.listen();
    journal.record(entryEvents.entryListening, { listen });
  }

  override async stop(): Promise<void> {
    const { timer, journal, settings } = this.#options;
    this.#isDraining = true;
    journal.record(entryEvents.entryDraining, { open: this.#dispatcher.openCount });
    const onExit = (): void => {
      journal.record(entryEvents.entryCut, { requests: this.#dispatcher.openIds });
    };
    process.once('exit', onExit);
    await timer.sleep(settings.balancerNoticeMs);
    const closed = this.#server.close();
    while (this.#dispatcher.openCount > 0) await timer.sleep(DRAIN_POLL_INTERVAL_MS);
    await closed;
    process.off('exit', onExit);
    await super.stop();
  }

  protected override handle(): void {
    // Requests arrive through the caller server.
  }

  #applyState(): void {
    const { state } = this.#subscription;
    this.#scheduler.configure(state.configuration);
    this.#limiter.configure(state.configuration);
    this.#dispatcher.withdrawKeys((key) => state.hasKey(key));
    const { quarantined } = requestCodes;
    this.#dispatcher.rejectWaiting(new Failure(quarantined, quarantined.meaning), ({ order }) =>
      this.#admission.admit(order).isErr(),
    );
  }

  /** Holds requests during a short loss of freshness and rejects them after a longer one. */
  #applyFreshness(isFresh: boolean): void {
    this.#staleTimer?.[Symbol.dispose]();
    if (isFresh) {
      this.#dispatcher.decide();
      return;
    }
    const { notFresh } = requestCodes;
    this.#staleTimer = this.#options.timer.after(MAX_STALE_HOLD_MS, () => {
      this.#dispatcher.rejectWaiting(new Failure(notFresh, notFresh.meaning), () => true);
    });
  }

  async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { state } = this.#subscription;
    if (!this.#subscription.isFresh) {
      sendFailure(response, new Failure(requestCodes.notFresh, requestCodes.notFresh.meaning));
      return;
    }
    const identity = checkHeaders(request).andThen(() =>
      authenticate(state, request.headers.authorization),
    );
    if (identity.isErr()) {
      sendFailure(response, this.#limitKeyFailures(request, identity.error));
      return;
    }
    const path = (request.url ?? '/').split('?')[0] ?? '/';
    const route = findRoute(state.configuration, request.method ?? 'GET', path);
    if (!route) {
      const message = `no route for ${request.method} ${path}`;
      sendFailure(response, new Failure(requestCodes.routeUnknown, message));
    } else if (route.type === 'models') this.#sendModels(response, identity.value);
    else await this.#accept(request, response, identity.value, route);
  }

  async #accept(
    request: IncomingMessage,
    response: ServerResponse,
    identity: Identity,
    route: Route,
  ): Promise<void> {
    const { settings, timer } = this.#options;
    if (this.#dispatcher.openCount >= settings.maxRequests) {
      const { overloaded } = requestCodes;
      sendFailure(response, new Failure(overloaded, overloaded.meaning, { retryAfterMs: 1000 }));
      return;
    }
    const body = await readBody(request, response, {
      maxBytes: settings.maxBodyBytes,
      bodies: this.#bodies,
    });
    // Freshness and key are checked again: they may have changed while the body was read.
    const { state, isFresh } = this.#subscription;
    const { configuration } = state;
    const { keyRefused, notFresh } = requestCodes;
    if (!isFresh) {
      sendFailure(response, new Failure(notFresh, notFresh.meaning));
      return;
    }
    if (!state.hasKey(identity.record.key)) {
      sendFailure(response, new Failure(keyRefused, keyRefused.meaning));
      return;
    }
    const order = body.andThen((bytes) =>
      classify(configuration, identity, route, request, bytes, timer.now()),
    );
    const admitted = order
      .andThen((item) => this.#admission.admit(item))
      .andThen((item) => this.#applyPlanLimits(item, response));
    if (admitted.isErr()) sendFailure(response, admitted.error);
    else if (!response.destroyed) this.#dispatcher.submit(new Exchange(admitted.value, response));
  }

  /** Applies the limits of a workspace's plan, counting the requests of this entry only. */
  #applyPlanLimits(order: Order, response: ServerResponse): Result<Order, Failure> {
    const { timer } = this.#options;
    const { workspace, promptTokens, answerTokens } = order.job;
    if (response.destroyed) return ok(order);
    const work = promptTokens + answerTokens;
    return this.#limiter.admit(workspace, work, timer.now()).map(() => {
      response.once('close', () => this.#limiter.ended(workspace, 0, timer.now()));
      return order;
    });
  }

  /** Replaces `keyRefused` by `tooManyFailures` for an address that sends many rejected keys. */
  #limitKeyFailures(request: IncomingMessage, failure: Failure): Failure {
    const { keyRefused, tooManyFailures } = requestCodes;
    if (failure.code !== keyRefused) return failure;
    if (this.#failures.recordFailure(request.socket.remoteAddress ?? '')) return failure;
    return new Failure(tooManyFailures, tooManyFailures.meaning, { retryAfterMs: 1000 });
  }

  #sendModels(response: ServerResponse, identity: Identity): void {
    const { configuration } = this.#subscription.state;
    const customer = configuration.customers[identity.record.workspace];
    const models = (customer && configuration.plans[customer.plan]?.models) ?? [];
    const data = models.map((id) => ({ id, object: 'model', created: 0, owned_by: 'berylwood' }));
    response.writeHead(200, { 'content-type': 'application/json' });
    response.end(JSON.stringify({ object: 'list', data }));
  }
}
