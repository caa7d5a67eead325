import { DisposableStore, type Failure } from '@berylwood/base';
import type { Link, LinkServer } from '@berylwood/link';
import type { Result } from 'neverthrow';
import { registryEvents } from './events';
import { handleMeshCall } from './handleMeshCall';
import { createStatus } from './createStatus';
import { createStreamOrigins } from './createStreamOrigins';
import { AddressBook } from './AddressBook';
import { ConfigurationFetcher } from './ConfigurationFetcher';
import type { EvacuateOutcome, EvacuationState } from './EvacuationState';
import { LeaderCalls } from './LeaderCalls';
import {
  dialerMessageSchema,
  type AcceptorMessage,
  type EndpointWork,
  type Status,
  type DialerMessage,
} from './MeshMessage';
import { LeaderReports } from './LeaderReports';
import type { MeshOptions } from './MeshOptions';
import { KEEP_ALIVE_INTERVAL_MS, MESH_PATH, Peers, SILENCE_TIMEOUT_MS, type Peer } from './Peers';
import { NewestEvacuations } from './NewestEvacuations';
import { OperatorListeners } from './OperatorListeners';
import { ReportIntake } from './ReportIntake';
import type { ConfigureOutcome, StoredConfiguration } from './RegistryMachine';
import type { StreamOrigins } from './StreamOrigins';
import type { WorkAttachments } from './WorkAttachments';
import { WorkDistributor, type InstanceLink } from './WorkDistributor';

/** Interval of status messages and reports, which have a few hundred bytes each. */
const STATUS_INTERVAL_MS = 400;

/**
 * Links between all instances. Each instance dials the seeds and the replicas of the registry,
 * receives newer configurations and the address of the leader, and reports its usage to the leader.
 * @public
 */
export class Mesh implements Disposable {
  /** Called with each newer configuration. */
  onConfiguration: (configuration: StoredConfiguration) => void = () => {};

  /** Called with each newer state of the evacuations, before a newer configuration. */
  onEvacuations: (evacuations: EvacuationState) => void = () => {};

  /** Called with the total work in flight from all other instances. */
  onWork: (endpoints: readonly EndpointWork[]) => void = () => {};

  /** Values attached to the work that is exchanged with the leader. */
  attachments: WorkAttachments | undefined;

  /** Called with each value that the leader broadcasts; the receiver validates it. */
  onNotice: (value: unknown) => void = () => {};

  /** Called with suspicions that another instance sends; the receiver validates them. */
  onSuspicions: (value: unknown) => void = () => {};

  /** Returns all suspicions, for a new link. */
  suspicions: () => readonly unknown[] = () => [];

  /** Versions that began streams, stored on the disks of several instances. */
  readonly origins: StreamOrigins;

  /** Listeners for operators of other instances. */
  readonly operators: OperatorListeners;

  readonly #options: MeshOptions;

  readonly #work = new WorkDistributor();

  readonly #store = new DisposableStore();

  readonly #peers: Peers;

  /** Accepted links with the address of the instance, which is empty until its first report. */
  readonly #incoming = new Map<InstanceLink, string>();

  #configuration: StoredConfiguration | undefined;

  readonly #fetcher: ConfigurationFetcher;

  #instanceCount = 0;

  readonly #evacuations = new NewestEvacuations();

  readonly #intake: ReportIntake;

  readonly #calls: LeaderCalls;

  readonly #addressBook: AddressBook;

  readonly #reports: LeaderReports;

  #leader = '';

  constructor(options: MeshOptions) {
    this.#options = options;
    const { registry, timer, journal } = options;
    const leader = () => this.#peers.leader;
    this.#addressBook = new AddressBook(options);
    this.#peers = new Peers(timer, journal, (peer, link) => this.#handleOpen(peer, link));
    this.operators = new OperatorListeners(this.#peers);
    this.origins = this.#store.add(createStreamOrigins(options, this.#peers));
    this.#reports = this.#store.add(new LeaderReports({ ...options, leader }));
    this.#intake = new ReportIntake(options);
    this.#calls = new LeaderCalls({ registry, leader, applied: () => this.#configuration });
    this.#evacuations.onNewer = (evacuations) => this.#applyEvacuations(evacuations);
    this.#fetcher = new ConfigurationFetcher(journal, (newer) => this.#applyConfiguration(newer));
    if (registry) {
      registry.stateMachine.onConfiguration = (configuration) =>
        this.#applyConfiguration(configuration);
      registry.stateMachine.onEvacuations = (evacuations) => this.#evacuations.receive(evacuations);
      registry.onRole = () => this.#broadcastStatus();
    }
    this.#store.add(timer.every(STATUS_INTERVAL_MS, () => this.#tick()));
  }

  /** Number of instances as last counted by the leader; 0 before the first count. */
  get instanceCount(): number {
    return this.#instanceCount;
  }

  /** Addresses of the seeds and of the replicas known to this instance. */
  get replicaAddresses(): readonly string[] {
    return [...this.#addressBook.dialTargets];
  }

  /** Whether this instance has a link to the replica at an address. */
  isConnected(address: string): boolean {
    return this.#peers.isConnected(address);
  }

  /** Accepts links of other instances on the server's port; call before it listens. */
  serve(server: LinkServer): void {
    const { timer, journal } = this.#options;
    const timeouts = { keepAliveMs: KEEP_ALIVE_INTERVAL_MS, silenceTimeoutMs: SILENCE_TIMEOUT_MS };
    server.accept<AcceptorMessage, DialerMessage>(
      MESH_PATH,
      { timer, journal, schema: dialerMessageSchema, ...timeouts },
      (link) => this.#accept(link),
    );
  }

  /** Starts dialing. The cached configuration and evacuations apply until newer ones arrive. */
  async open(): Promise<void> {
    this.#peers.setTargets(this.#addressBook.dialTargets);
    this.origins.log.open();
    const cached = await this.#options.registry?.cache.read();
    if (cached?.evacuations) this.#evacuations.receive(cached.evacuations);
    if (cached?.configuration) this.#applyConfiguration(cached.configuration);
  }

  /** Commits a configuration through the leader. */
  configure(version: number, body: Uint8Array): Promise<Result<ConfigureOutcome, Failure>> {
    return this.#calls.configure(version, body);
  }

  /** Commits the start or the end of the evacuation of a data centre through the leader. */
  evacuate(dataCentre: string, isEvacuated: boolean): Promise<Result<EvacuateOutcome, Failure>> {
    const { revision: basis } = this.#evacuations.state;
    return this.#calls.evacuate({ dataCentre, isEvacuated, basis });
  }

  /** The newest configuration, confirmed by a quorum after this call. */
  readNewest(): Promise<Result<StoredConfiguration | undefined, Failure>> {
    return this.#calls.readNewest();
  }

  /**
   * Whether all known instances have reported to this leader since `sinceMs`, in fleet time. Known
   * are the instances that have reported before and the replicas, which may be partitioned.
   */
  haveAllReported(sinceMs: number): boolean {
    return this.#intake.haveAllReported(sinceMs);
  }

  /** Tells all instances from now on that this one is about to stop, so that no leader relies on its vote. */
  leave(): void {
    this.#reports.startLeaving();
    this.#broadcastStatus();
  }

  /** Sends the work in flight from this instance to the leader; the leader sends the sums to the instances. */
  publishWork(endpoints: readonly EndpointWork[]): void {
    if (!this.isLeader) {
      const link = this.#peers.leader?.dialer.link;
      if (link) this.#work.report(endpoints, link, this.attachments);
      return;
    }
    this.onWork(this.#work.distribute(endpoints, this.#incoming, this.attachments));
  }

  /** Whether this instance leads the registry, and so reads shared data for all instances. */
  get isLeader(): boolean {
    return this.#options.registry?.isLeader ?? false;
  }

  /** Broadcasts a value to all connected instances; does nothing unless this instance leads. */
  broadcastNotice(value: unknown): void {
    if (!this.isLeader) return;
    for (const link of this.#incoming.keys()) link.send({ type: 'notice', value });
  }

  /** Sends suspicions of this instance to all connected instances. */
  sendSuspicions(suspicions: readonly unknown[]): void {
    for (const link of this.#peers.links) this.#sendHello(link, suspicions);
    this.forwardSuspicions(suspicions);
  }

  /**
   * Forwards received suspicions to the instances that have dialled this one. All instances dial all
   * replicas, so each suspicion reaches all of them.
   */
  forwardSuspicions(suspicions: readonly unknown[]): void {
    const status = { ...this.#createStatus(), suspicions };
    for (const link of this.#incoming.keys()) link.send(status);
  }

  [Symbol.dispose](): void {
    this.#store[Symbol.dispose]();
    this.#peers[Symbol.dispose]();
    for (const link of this.#incoming.keys()) link[Symbol.dispose]();
  }

  #accept(link: InstanceLink): void {
    this.#incoming.set(link, '');
    link.onClose = () => {
      this.#incoming.delete(link);
      this.#work.delete(link);
    };
    link.onMessage = (message) => {
      if (message.type === 'report') {
        this.#incoming.set(link, message.instance);
        this.#intake.receive(message);
      } else if (message.type === 'work') {
        const attachments = this.isLeader ? this.attachments : undefined;
        this.#work.receive(link, this.#incoming.get(link) ?? '', message, attachments);
      } else if (message.type === 'hello') {
        this.#addMembers(message.members);
        if (message.suspicions) this.onSuspicions(message.suspicions);
      }
    };
    link.onCall = (message) => {
      const applied = this.#configuration;
      return handleMeshCall({ ...this.#options, applied, originLog: this.origins.log }, message);
    };
    const { operators } = this.#options;
    link.send({ ...this.#createStatus(), suspicions: this.suspicions(), operators });
  }

  #applyEvacuations(evacuations: EvacuationState): void {
    this.onEvacuations(evacuations);
    this.#options.registry?.cache.writeEvacuations(evacuations);
    this.#broadcastStatus();
  }

  #applyConfiguration(configuration: StoredConfiguration): void {
    if (this.#configuration && this.#configuration.version >= configuration.version) return;
    this.#configuration = configuration;
    const { version, body } = configuration;
    const fields = { version, bytes: body.byteLength };
    this.#options.journal.record(registryEvents.configurationApplied, fields);
    this.onConfiguration(configuration);
    this.#options.registry?.cache.writeConfiguration(configuration);
    this.#broadcastStatus();
  }

  #createStatus(): Status {
    return createStatus(this.#options, {
      configuration: this.#configuration,
      members: this.#addressBook.members,
      instances: this.#instanceCount,
      holdsOrigins: this.origins.log.isDurable,
      evacuations: this.#evacuations.state,
      isLeaving: this.#reports.isLeaving,
    });
  }

  #broadcastStatus(): void {
    const status = this.#createStatus();
    for (const link of this.#incoming.keys()) link.send(status, true);
  }

  #tick(): void {
    const { registry, address } = this.#options;
    this.#intake.tick();
    if (this.isLeader)
      this.#instanceCount = new Set([...this.#incoming.values(), address, '']).size - 1;
    this.#broadcastStatus();
    this.#peers.setTargets(this.#addressBook.dialTargets);
    if (registry) {
      for (const link of this.#peers.links) this.#sendHello(link);
    }
    this.#reports.send();
    this.#updateLeader();
  }

  #updateLeader(): void {
    const { registry, address, journal } = this.#options;
    const remoteLeader = this.#peers.leader?.address ?? '';
    const leader = this.isLeader ? address : remoteLeader;
    if (leader === this.#leader) return;
    this.#leader = leader;
    journal.record(registryEvents.leaderChanged, { leader, term: registry?.term });
  }

  #handleOpen(peer: Peer, link: Link<DialerMessage, AcceptorMessage>): void {
    this.#sendHello(link, this.suspicions());
    link.onMessage = (message) => {
      if (message.type === 'status') this.#handleStatus(peer, link, message);
      else if (peer === this.#peers.leader) this.#handleLeaderMessage(message);
    };
    link.onClose = () => {
      peer.status = undefined;
    };
    this.#reports.send();
  }

  #handleLeaderMessage(message: Exclude<AcceptorMessage, Status>): void {
    if (message.type === 'work') {
      this.onWork(message.endpoints);
      if (message.attachment !== undefined) this.attachments?.receiveUpdate(message.attachment);
    } else this.onNotice(message.value);
  }

  /** Dials new addresses immediately, as an instance that has just started knows few others. */
  #addMembers(members: readonly string[]): void {
    this.#addressBook.addMembers(members);
    this.#peers.setTargets(this.#addressBook.dialTargets);
  }

  #sendHello(link: Link<DialerMessage, AcceptorMessage>, suspicions?: readonly unknown[]): void {
    link.send({ type: 'hello', members: this.#addressBook.members, suspicions });
  }

  #handleStatus(peer: Peer, link: Link<DialerMessage, AcceptorMessage>, status: Status): void {
    // The listener is stated once on each link.
    peer.status = { ...status, operators: status.operators ?? peer.status?.operators };
    this.#addMembers(status.members);
    this.#options.registry?.setLeaving(peer.address, status.isLeaving === true);
    if (status.evacuations) this.#evacuations.receive(status.evacuations);
    if (status.suspicions) this.onSuspicions(status.suspicions);
    if (status.isLeader && peer === this.#peers.leader && !this.isLeader) {
      this.#instanceCount = Math.max(1, status.instances);
      this.#options.clock.syncToLeader(status.timeMs);
      this.#options.usage.discardThrough(status.closedWindow);
    }
    if (status.version > (this.#configuration?.version ?? -1))
      this.#fetcher.fetch(link, status.bytes);
  }
}
