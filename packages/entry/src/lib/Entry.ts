import type { IncomingMessage, ServerResponse } from 'node:http';
import { Failure, Task, asId, type Journal, type Metrics, type Timer } from '@berylwood/base';
import { Subscription } from '@berylwood/feed';
import type { LinkIdentity } from '@berylwood/link';
import { RoundRobinScheduler, type Scheduler } from '@berylwood/policy';
import {
  requestCodes,
  type EntrySettings,
  type IncarnationId,
  type ProcessSettings,
} from '@berylwood/schema';
import { authenticate, type Identity } from './authenticate';
import { CallerServer } from './CallerServer';
import { classify } from './classify';
import { Dispatcher } from './Dispatcher';
import { EndpointTable } from './EndpointTable';
import { entryEvents } from './events';
import { Exchange } from './Exchange';
import { findRoute, type Route } from './findRoute';
import { readBody } from './readBody';
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
}

const DRAIN_POLL_MS = 20;

/** Authenticates callers, schedules their requests and relays the answers. @public */
export class Entry extends Task {
  readonly name = 'entry';

  readonly #options: EntryOptions;

  readonly #subscription: Subscription;

  readonly #scheduler: Scheduler = new RoundRobinScheduler();

  readonly #endpoints: EndpointTable;

  readonly #dispatcher: Dispatcher;

  readonly #server: CallerServer;

  #isDraining = false;

  constructor(options: EntryOptions) {
    super();
    this.#options = options;
    const { settings, process } = options;
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
    this.#dispatcher = this.store.add(
      new Dispatcher({ ...options, scheduler: this.#scheduler, endpoints: this.#endpoints }),
    );
    this.#server = new CallerServer(settings, {
      serve: (request, response) => this.#serve(request, response),
      isReady: () => this.#subscription.isFresh && !this.#isDraining,
      metrics: () => options.metrics.expose(),
    });
  }

  override async start(): Promise<void> {
    const { journal } = this.#options;
    this.#subscription.onChange = () => {
      this.#scheduler.configure(this.#subscription.state.configuration);
    };
    this.#subscription.onMembers = () => this.#endpoints.update(this.#subscription.members);
    this.#subscription.open();
    const listen = await this.#server.listen();
    journal.record(entryEvents.entryListening, { listen });
  }

  override async stop(): Promise<void> {
    const { timer, journal, settings } = this.#options;
    this.#isDraining = true;
    journal.record(entryEvents.entryDraining, { open: this.#dispatcher.openCount });
    await timer.sleep(settings.balancerNoticeMs);
    while (this.#dispatcher.openCount > 0) await timer.sleep(DRAIN_POLL_MS);
    await this.#server.close();
    await super.stop();
  }

  protected override handle(): void {
    // Requests come over the caller server.
  }

  async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { state } = this.#subscription;
    if (!this.#subscription.isFresh) {
      sendFailure(response, new Failure(requestCodes.notFresh, requestCodes.notFresh.meaning));
      return;
    }
    const identity = authenticate(state, request.headers.authorization);
    if (identity.isErr()) {
      sendFailure(response, identity.error);
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
    const body = await readBody(request, settings.maxBodyBytes);
    const { configuration } = this.#subscription.state;
    const order = body.andThen((bytes) =>
      classify(configuration, identity, route, request, bytes, timer.now()),
    );
    if (order.isErr()) sendFailure(response, order.error);
    else if (!response.destroyed) this.#dispatcher.submit(new Exchange(order.value, response));
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
