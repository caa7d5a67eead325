import { Task, asId, type Code, type Journal, type Metrics, type Timer } from '@berylwood/base';
import { Subscription } from '@berylwood/feed';
import { LinkServer, type LinkIdentity } from '@berylwood/link';
import { FairLocalQueue } from '@berylwood/policy';
import {
  requestCodes,
  entryMessageSchema,
  type EntryMessage,
  type IncarnationId,
  type Member,
  type ProcessSettings,
  type SidecarMessage,
  type SidecarSettings,
} from '@berylwood/schema';
import type { EntryLink } from './Attempt';
import { AttemptRunner } from './AttemptRunner';
import { AttemptTable } from './AttemptTable';
import type { Endpoint } from './Endpoint';
import { EngineEndpoint } from './EngineEndpoint';
import { sidecarEvents } from './events';
import { LoadMonitor } from './LoadMonitor';
import { Meter } from './Meter';
import { OrderGate } from './OrderGate';
import { OutcomeReporter } from './OutcomeReporter';
import { ServiceEndpoint } from './ServiceEndpoint';

/** Options of the sidecar role. @public */
export interface SidecarOptions {
  readonly settings: SidecarSettings;
  readonly process: ProcessSettings;
  readonly incarnation: IncarnationId;
  readonly timer: Timer;
  readonly journal: Journal;
  readonly metrics: Metrics;
  readonly identity?: LinkIdentity;
}

const METER_INTERVAL_MS = 500;
const DRAIN_POLL_MS = 50;

/** Maximum time at the end of a drain for reporting outcomes to the control group. */
const REPORT_DRAIN_TIMEOUT_MS = 5000;

/** Time for which messages to an entry are batched, so that one frame carries many streams. */
const BATCH_INTERVAL_MS = 5;

/** Proxy through which all requests to one endpoint pass. Runs, meters and drains attempts. @public */
export class Sidecar extends Task {
  readonly name: string;

  readonly #options: SidecarOptions;

  readonly #subscription: Subscription;

  readonly #attempts: AttemptTable;

  readonly #meter: Meter;

  readonly #reporter: OutcomeReporter;

  readonly #orderGate: OrderGate;

  readonly #monitor: LoadMonitor;

  readonly #server: LinkServer;

  readonly #links = new Set<EntryLink>();

  #address = '';

  #isLeaving = false;

  constructor(options: SidecarOptions) {
    super();
    this.#options = options;
    const { settings, process, incarnation, timer, journal } = options;
    this.name = `sidecar ${settings.endpoint}`;
    this.#subscription = this.store.add(
      new Subscription({
        ...options,
        addresses: settings.control,
        group: process.group,
        process: `${process.name}/${settings.endpoint}`,
        dataCentre: asId(process.dataCentre),
        member: () => this.#createMember(),
      }),
    );
    this.#meter = new Meter(this.#subscription, asId(settings.endpoint), incarnation);
    const endpoint = this.store.add(createEndpoint(settings));
    this.#reporter = this.store.add(
      new OutcomeReporter({
        subscription: this.#subscription,
        timer,
        journal,
        endpoint: asId(settings.endpoint),
        incarnation,
      }),
    );
    this.#attempts = this.store.add(
      new AttemptTable({
        incarnation,
        endpoint,
        runner: new AttemptRunner({
          endpoint,
          meter: this.#meter,
          reporter: this.#reporter,
          timer,
          journal,
        }),
        queue: new FairLocalQueue({ slots: settings.slots, capacity: settings.queue }),
        timer,
        journal,
        rejectionCode: () => this.#rejectionCode(),
        canStart: () => this.#subscription.isFresh,
      }),
    );
    this.#orderGate = new OrderGate(this.#subscription, endpoint, journal);
    this.#monitor = new LoadMonitor(timer, endpoint, this.#attempts, () => this.#isLeaving);
    this.#server = new LinkServer(options.identity);
  }

  override async start(): Promise<void> {
    const { settings, timer, journal } = this.#options;
    this.#server.accept<SidecarMessage, EntryMessage>(
      '/entry',
      { timer, journal, schema: entryMessageSchema, batchIntervalMs: BATCH_INTERVAL_MS },
      (link) => this.#acceptLink(link),
    );
    this.#address = await this.#server.listen(settings.listen);
    this.#subscription.onChange = () => {
      this.#attempts.configure(this.#subscription.state.configuration);
    };
    this.#subscription.onFreshnessChange = () => this.#attempts.decide();
    this.#subscription.onOrder = (order) => {
      this.#orderGate.handleOrder(order).catch(() => {});
    };
    this.#subscription.open();
    this.store.add(timer.every(METER_INTERVAL_MS, () => this.#flushMeter()));
    this.store.add(this.#monitor);
    this.#monitor.onLoad = (load) => {
      for (const link of this.#links) link.send({ type: 'load', load });
    };
    this.#monitor.open();
    const { endpoint } = settings;
    journal.record(sidecarEvents.sidecarListening, { endpoint, listen: this.#address });
  }

  override async stop(): Promise<void> {
    const { timer, journal, settings } = this.#options;
    this.#isLeaving = true;
    this.#subscription.renew();
    this.#monitor.publish();
    journal.record(sidecarEvents.sidecarDraining, { endpoint: settings.endpoint });
    const onExit = (): void => this.#recordUnfinishedDrain();
    process.once('exit', onExit);
    while (this.#attempts.openCount > 0) await timer.sleep(DRAIN_POLL_MS);
    const reportsUntil = timer.now() + REPORT_DRAIN_TIMEOUT_MS;
    while (this.#reporter.pendingCount > 0 && timer.now() < reportsUntil) {
      await timer.sleep(DRAIN_POLL_MS);
    }
    process.off('exit', onExit);
    await this.#meter.flush();
    await this.#server.close();
    await super.stop();
  }

  protected override handle(): void {
    // Messages arrive over links.
  }

  #rejectionCode(): Code | undefined {
    if (this.#isLeaving) return requestCodes.draining;
    if (this.#monitor.isDown) return requestCodes.endpointUnreached;
    return this.#subscription.isFresh ? undefined : requestCodes.notFresh;
  }

  /** Logs the attempts that are still open when the process exits before the drain is complete. */
  #recordUnfinishedDrain(): void {
    const { journal, settings } = this.#options;
    const fields = { endpoint: settings.endpoint, attempts: this.#attempts.openIds };
    journal.record(sidecarEvents.sidecarCut, fields);
  }

  #createMember(): Member {
    const { settings, process, incarnation } = this.#options;
    return {
      endpoint: asId(settings.endpoint),
      incarnation,
      instance: asId(process.instance),
      dataCentre: asId(process.dataCentre),
      kind: settings.kind,
      address: settings.announce ?? this.#address,
      models: settings.models,
      service: settings.service,
      slots: settings.slots,
      state: this.#isLeaving ? 'leaving' : 'live',
    };
  }

  #flushMeter(): void {
    this.#meter.flush().catch(() => {});
  }

  #acceptLink(link: EntryLink): void {
    this.#links.add(link);
    link.onMessage = (message) => this.#attempts.receive(link, message);
    link.onClose = () => {
      this.#links.delete(link);
      this.#attempts.detach(link);
    };
    const { settings, incarnation } = this.#options;
    link.send({ type: 'hello', endpoint: asId(settings.endpoint), incarnation });
    link.send({ type: 'load', load: this.#monitor.current });
  }
}

function createEndpoint(settings: SidecarSettings): Endpoint & Disposable {
  return settings.kind === 'engine'
    ? new EngineEndpoint(settings.address, settings.slots)
    : new ServiceEndpoint(settings.address, settings.slots);
}
