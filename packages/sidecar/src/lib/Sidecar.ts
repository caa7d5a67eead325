import { Task, asId, type Journal, type Metrics, type Timer } from '@berylwood/base';
import { Subscription } from '@berylwood/feed';
import { LinkServer, type LinkIdentity } from '@berylwood/link';
import {
  entryMessageSchema,
  type EntryMessage,
  type IncarnationId,
  type Member,
  type ProcessSettings,
  type SidecarMessage,
  type SidecarSettings,
} from '@berylwood/schema';
import type { EntryLink } from './Attempt';
import { AttemptTable } from './AttemptTable';
import type { Endpoint } from './Endpoint';
import { EngineEndpoint } from './EngineEndpoint';
import { sidecarEvents } from './events';
import { LoadMonitor } from './LoadMonitor';
import { Meter } from './Meter';
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

/** Time that frames for an entry are gathered: one frame then carries tokens of many streams. */
const GATHER_MS = 5;

/** The only way to an endpoint: attempts, metering and drain. @public */
export class Sidecar extends Task {
  readonly name: string;

  readonly #options: SidecarOptions;

  readonly #subscription: Subscription;

  readonly #attempts: AttemptTable;

  readonly #meter: Meter;

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
        member: () => this.#describe(),
      }),
    );
    this.#meter = new Meter(this.#subscription, asId(settings.endpoint), incarnation);
    const endpoint = this.store.add(createEndpoint(settings));
    this.#attempts = new AttemptTable({
      incarnation,
      endpoint,
      meter: this.#meter,
      timer,
      journal,
      slots: settings.slots,
      queue: settings.queue,
      mayStart: () => this.#subscription.isFresh && !this.#isLeaving,
    });
    this.#monitor = new LoadMonitor(timer, endpoint, this.#attempts, () => this.#isLeaving);
    this.#server = new LinkServer(options.identity);
  }

  override async start(): Promise<void> {
    const { settings, timer, journal } = this.#options;
    this.#server.accept<SidecarMessage, EntryMessage>(
      '/entry',
      { timer, journal, schema: entryMessageSchema, gatherMs: GATHER_MS },
      (link) => this.#welcome(link),
    );
    this.#address = await this.#server.listen(settings.listen);
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
    journal.record(sidecarEvents.sidecarDraining, { endpoint: settings.endpoint });
    while (this.#attempts.openCount > 0) await timer.sleep(DRAIN_POLL_MS);
    await this.#meter.flush();
    await this.#server.close();
    await super.stop();
  }

  protected override handle(): void {
    // Messages come over links.
  }

  #describe(): Member {
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

  #welcome(link: EntryLink): void {
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
