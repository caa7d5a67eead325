import { DisposableStore, fail, type Failure, type Journal, type Timer } from '@berylwood/base';
import type { Link, LinkServer } from '@berylwood/link';
import { ok, type Result } from 'neverthrow';
import { registryCodes } from './codes';
import { registryEvents } from './events';
import { AddressBook } from './AddressBook';
import { CALL_MS, ConfigurationFetcher } from './ConfigurationFetcher';
import type { FleetClock } from './FleetClock';
import {
  upwardSchema,
  type Downward,
  type EndpointWork,
  type Report,
  type Status,
  type Upward,
} from './MeshMessage';
import type { Registry } from './Registry';
import { KEEP_ALIVE_MS, MESH_PATH, Peers, SILENCE_MS, type Peer } from './Peers';
import { ReportTimes } from './ReportTimes';
import type { ConfigureOutcome, StoredConfiguration } from './RegistryMachine';
import type { UsageLedger } from './UsageLedger';
import { WorkBoard } from './WorkBoard';

/** Options of the mesh of one instance. @public */
export interface MeshOptions {
  /** Address of this instance between instances, `IP:PORT`. */
  readonly address: string;
  /** Instance and incarnation, under which its usage is counted. */
  readonly source: string;
  /** Addresses to begin with; they may be out of date. */
  readonly seeds: () => readonly string[];
  /** The replica of this instance, if it has a disk. */
  readonly registry: Registry | undefined;
  readonly clock: FleetClock;
  readonly usage: UsageLedger;
  readonly timer: Timer;
  readonly journal: Journal;
}

/** Interval of statuses and reports: a few hundred bytes each. */
const STATUS_MS = 400;

/** Windows kept while no leader closes them: ten minutes of windows of five seconds. */
const KEPT_WINDOWS = 120;

/**
 * Links between all instances: each dials the seeds and the replicas of the registry, learns of
 * newer configurations and of the leader, and reports its usage.
 * @public
 */
export class Mesh implements Disposable {
  /** Called with each newer configuration. */
  onConfiguration: (configuration: StoredConfiguration) => void = () => {};

  /** Called with the work that all other instances have handed to endpoints. */
  onWork: (endpoints: readonly EndpointWork[]) => void = () => {};

  /** Called with what the leader has read for all instances; the receiver checks its form. */
  onNotice: (value: unknown) => void = () => {};

  readonly #options: MeshOptions;

  readonly #board = new WorkBoard<Link<Downward, Upward> | 'own'>();

  readonly #store = new DisposableStore();

  readonly #peers: Peers;

  /** Links of instances that have dialled this one, with their addresses once known. */
  readonly #incoming = new Map<Link<Downward, Upward>, string>();

  #configuration: StoredConfiguration | undefined;

  readonly #fetcher: ConfigurationFetcher;

  #instances = 0;

  readonly #reports = new ReportTimes();

  readonly #addresses: AddressBook;

  #leader = '';

  constructor(options: MeshOptions) {
    this.#options = options;
    const { registry, timer, journal } = options;
    this.#addresses = new AddressBook(options);
    this.#peers = new Peers(timer, journal, (peer, link) => this.#opened(peer, link));
    this.#fetcher = new ConfigurationFetcher(journal, (newer) => this.#adopt(newer));
    if (registry) {
      registry.machine.onConfiguration = (configuration) => this.#adopt(configuration);
      registry.onRole = () => this.#announce();
    }
    this.#store.add(timer.every(STATUS_MS, () => this.#tick()));
  }

  /** Instances of the fleet as the leader has last counted them; 0 before it has. */
  get instances(): number {
    return this.#instances;
  }

  /** Serves the links of other instances on the server's port; call before it listens. */
  serve(server: LinkServer): void {
    const { timer, journal } = this.#options;
    const times = { keepAliveMs: KEEP_ALIVE_MS, silenceMs: SILENCE_MS };
    server.accept<Downward, Upward>(
      MESH_PATH,
      { timer, journal, schema: upwardSchema, ...times },
      (link) => this.#accept(link),
    );
  }

  /** Begins to dial; until a newer configuration comes, the one that was last in force holds. */
  async open(): Promise<void> {
    this.#peers.dial(this.#addresses.wanted);
    const remembered = await this.#options.registry?.recall();
    if (remembered) this.#adopt(remembered);
  }

  /** Commits a configuration through the leader. */
  async configure(version: number, body: Uint8Array): Promise<Result<ConfigureOutcome, Failure>> {
    const { registry } = this.#options;
    if (registry?.isLeader) return registry.configure(version, body);
    return this.#askLeader({ type: 'configure', version, body });
  }

  /** The newest configuration, confirmed by a quorum after this call. */
  async readNewest(): Promise<Result<StoredConfiguration | undefined, Failure>> {
    const { registry } = this.#options;
    if (registry?.isLeader) return registry.readNewest();
    const answer = await this.#askLeader<StoredConfiguration | null>({ type: 'readNewest' });
    return answer.map((configuration) => configuration ?? undefined);
  }

  /**
   * Whether every instance has reported to this leader since a fleet time, as far as it knows them:
   * those that have reported before, and the replicas, which may be cut off.
   */
  haveAllReported(sinceMs: number): boolean {
    const { address, registry } = this.#options;
    const others = (registry?.members ?? []).filter((member) => member !== address);
    return this.#reports.haveAllCome(others, sinceMs);
  }

  /** Tells the work that this instance has handed over; the leader tells all others the sums. */
  shareWork(endpoints: readonly EndpointWork[]): void {
    if (!this.isLeader) {
      this.#peers.leader?.dialer.link?.send({ type: 'work', endpoints });
      return;
    }
    this.#board.set('own', endpoints);
    this.onWork(this.#board.othersOf('own'));
    for (const [link, instance] of this.#incoming) {
      if (instance !== '') link.send({ type: 'work', endpoints: this.#board.othersOf(link) });
    }
  }

  /** Whether this instance leads, and so reads for all others. */
  get isLeader(): boolean {
    return this.#options.registry?.isLeader ?? false;
  }

  /** As the leader, tells all others what it has read. */
  notify(value: unknown): void {
    if (!this.isLeader) return;
    for (const link of this.#incoming.keys()) link.send({ type: 'notice', value });
  }

  [Symbol.dispose](): void {
    this.#store[Symbol.dispose]();
    this.#peers[Symbol.dispose]();
    for (const link of this.#incoming.keys()) link[Symbol.dispose]();
  }

  #askLeader<T>(message: Upward): Promise<Result<T, Failure>> {
    const link = this.#peers.leader?.dialer.link;
    if (link) return link.call<T>(message, CALL_MS);
    return Promise.resolve(fail(registryCodes.leaderUnknown, 'no leader is connected'));
  }

  #accept(link: Link<Downward, Upward>): void {
    this.#incoming.set(link, '');
    link.onClose = () => {
      this.#incoming.delete(link);
      this.#board.forget(link);
    };
    link.onMessage = (message) => {
      if (message.type === 'report') this.#takeReport(link, message);
      else if (message.type === 'work') this.#board.set(link, message.endpoints);
      else if (message.type === 'hello') this.#learn(message.members);
    };
    link.onCall = (message) => this.#answer(message);
    link.send(this.#status());
  }

  #takeReport(link: Link<Downward, Upward>, { instance, source, wallMs, windows }: Report): void {
    this.#incoming.set(link, instance);
    if (!this.#options.registry?.isLeader) return;
    this.#options.clock.observe(instance, wallMs);
    this.#reports.note(instance, this.#options.clock.now());
    const closed = this.#options.registry.machine.lastWindow;
    for (const [window, counts] of windows) {
      if (window > closed) this.#options.usage.report(source, window, counts);
    }
  }

  async #answer(message: Upward): Promise<Result<unknown, Failure>> {
    const { registry } = this.#options;
    switch (message.type) {
      case 'fetch':
        return ok(this.#configuration ?? null);
      case 'configure':
        if (!registry) break;
        return registry.configure(message.version, message.body);
      case 'readNewest':
        if (!registry) break;
        return (await registry.readNewest()).map((configuration) => configuration ?? null);
      default:
    }
    return fail(registryCodes.replicaClosed, 'this instance has no replica');
  }

  #adopt(configuration: StoredConfiguration): void {
    if (this.#configuration && this.#configuration.version >= configuration.version) return;
    this.#configuration = configuration;
    const { version, body } = configuration;
    const fields = { version, bytes: body.byteLength };
    this.#options.journal.record(registryEvents.configurationApplied, fields);
    this.onConfiguration(configuration);
    this.#options.registry?.remember(configuration);
    this.#announce();
  }

  #status(): Status {
    const { registry, clock } = this.#options;
    const { isLeader } = this;
    return {
      type: 'status',
      version: this.#configuration?.version ?? -1,
      isLeader,
      term: registry?.term ?? 0,
      members: this.#addresses.members,
      instances: isLeader ? this.#instances : 0,
      closedWindow: registry?.machine.lastWindow ?? -1,
      timeMs: isLeader ? clock.now() : 0,
    };
  }

  #announce(): void {
    const status = this.#status();
    for (const link of this.#incoming.keys()) link.send(status, true);
  }

  #tick(): void {
    const { registry, clock, usage } = this.#options;
    if (registry?.isLeader) {
      clock.settle();
      this.#instances = new Set([...this.#incoming.values(), this.#options.address, '']).size - 1;
      usage.forget(registry.machine.lastWindow);
      this.#reports.forgetGone(clock.now());
    } else this.#reports.clear();
    usage.forget(usage.latest - KEPT_WINDOWS);
    this.#announce();
    this.#peers.dial(this.#addresses.wanted);
    if (registry) {
      for (const link of this.#peers.links) this.#sayHello(link);
    }
    this.#report();
    this.#noteLeader();
  }

  #report(): void {
    const peer = this.#peers.leader;
    if (!peer?.dialer.link || !peer.status) return;
    const { address, source, timer, usage } = this.#options;
    const windows = usage.since(source, peer.status.closedWindow);
    const wallMs = timer.wall();
    peer.dialer.link.send({ type: 'report', instance: address, source, wallMs, windows });
  }

  #noteLeader(): void {
    const { registry, address, journal } = this.#options;
    const known = this.#peers.leader?.address ?? '';
    const leader = this.isLeader ? address : known;
    if (leader === this.#leader) return;
    this.#leader = leader;
    journal.record(registryEvents.leaderChanged, { leader, term: registry?.term });
  }

  #opened(peer: Peer, link: Link<Upward, Downward>): void {
    this.#sayHello(link);
    link.onMessage = (message) => {
      if (message.type === 'status') this.#takeStatus(peer, link, message);
      else if (peer === this.#peers.leader) this.#takeNews(message);
    };
    link.onClose = () => {
      peer.status = undefined;
    };
    this.#report();
  }

  #takeNews(message: Exclude<Downward, Status>): void {
    if (message.type === 'work') this.onWork(message.endpoints);
    else this.onNotice(message.value);
  }

  /** Dials at once what it learns of: an instance that has just started knows little else. */
  #learn(members: readonly string[]): void {
    this.#addresses.learn(members);
    this.#peers.dial(this.#addresses.wanted);
  }

  #sayHello(link: Link<Upward, Downward>): void {
    link.send({ type: 'hello', members: this.#addresses.members });
  }

  #takeStatus(peer: Peer, link: Link<Upward, Downward>, status: Status): void {
    peer.status = status;
    this.#learn(status.members);
    if (status.isLeader && peer === this.#peers.leader && !this.isLeader) {
      this.#instances = Math.max(1, status.instances);
      this.#options.clock.follow(status.timeMs);
      this.#options.usage.forget(status.closedWindow);
    }
    if (status.version > (this.#configuration?.version ?? -1)) this.#fetcher.fetch(link);
  }
}
