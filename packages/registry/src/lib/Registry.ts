import { mkdirSync } from 'node:fs';
import { join } from 'node:path';
import { DisposableStore, Failure, Random, fail, type Journal, type Timer } from '@berylwood/base';
import {
  AdmissionPolicy,
  FileDisk,
  MembershipKeeper,
  Replica,
  createReplicaName,
  groupTimes,
  mustAwaitHandOver,
  type ReplicaName,
  type Transport,
} from '@berylwood/consensus';
import { Unpackr } from 'msgpackr';
import { err, ok, type Result } from 'neverthrow';
import { registryCodes } from './codes';
import type { EvacuateOutcome, EvacuationOrder } from './EvacuationState';
import { registryEvents } from './events';
import {
  RegistryMachine,
  encodeCommand,
  type ConfigureOutcome,
  type RegistryCommand,
  type StoredConfiguration,
} from './RegistryMachine';
import { StateCache } from './StateCache';

/** Options of the registry replica of one instance. @public */
export interface RegistryOptions {
  /** Address at which other instances reach this one, `IP:PORT`; it also names the replica. */
  readonly address: string;
  /** Directory of the log, the snapshots and the cache files; created if missing. */
  readonly directory: string;
  /** Replicas that bootstrap the first group; empty when a group exists already. */
  readonly bootstrapReplicas: readonly string[];
  /** Addresses to contact first for an existing group. */
  readonly seeds: () => readonly string[];
  /** Addresses of instances known at the moment, to contact for an existing group as well. */
  readonly contacts: () => readonly string[];
  /** Number of members that may be lost at the same time. */
  readonly tolerance: number;
  readonly transport: Transport;
  readonly timer: Timer;
  readonly journal: Journal;
}

/** Large enough for a document of the largest allowed body that hardly compresses. */
const MAX_COMMAND_BYTES = 6 * 1024 * 1024;

/** Small segments and snapshots, so that hundreds of large documents fit on a small disk. */
const SEGMENT_BYTES = 1024 * 1024;
const SNAPSHOT_BYTES = 2 * 1024 * 1024;
const SNAPSHOT_ENTRIES = 512;
const TRAILING_ENTRIES = 64;

/** Delay before a replica with a failed disk is reopened. */
const REOPEN_DELAY_MS = 500;

const unpackr = new Unpackr({ useRecords: false });

/** Admits every instance with a disk as a learner; `planMembership` promotes it later. */
class AdmitAsLearner extends AdmissionPolicy {
  readonly #isLeaving: (replica: ReplicaName) => boolean;

  constructor(isLeaving: (replica: ReplicaName) => boolean) {
    super();
    this.#isLeaving = isLeaving;
  }

  override admit(): 'learner' {
    return 'learner';
  }

  override mayVote(replica: ReplicaName): boolean {
    return !this.#isLeaving(replica);
  }
}

/** The registry replica of an instance with a disk; it is reopened after a disk failure. @public */
export class Registry implements Disposable {
  /** Called when this replica gains or loses leadership, and when another replica leads. */
  onRole: () => void = () => {};

  readonly stateMachine = new RegistryMachine();

  /** What this instance used before a restart. @internal */
  readonly cache: StateCache;

  readonly #options: RegistryOptions;

  readonly #store = new DisposableStore();

  #replica: Replica | undefined;

  #keeper: MembershipKeeper | undefined;

  #isClosed = false;

  /** Monotonic time at which this replica became leader; `Infinity` while it is not. */
  #leaderSince = Infinity;

  constructor(options: RegistryOptions) {
    this.#options = options;
    const { directory, timer, journal } = options;
    this.cache = this.#store.add(new StateCache(join(directory, 'cache'), timer, journal));
    this.#store.add(timer.every(groupTimes.checkIntervalMs, () => this.#checkReplica()));
  }

  /** Opens the replica; a disk failure is logged and opening is retried later. */
  async open(): Promise<void> {
    const { address, directory, bootstrapReplicas, transport, timer, journal, seeds, contacts } =
      this.#options;
    try {
      mkdirSync(directory, { recursive: true });
      const otherReplicas = [...new Set([...bootstrapReplicas, ...seeds()])].filter(
        (item) => item !== address,
      );
      const opened = await Replica.open({
        replica: createReplicaName(address),
        machine: this.stateMachine,
        transport,
        disk: await FileDisk.open(join(directory, 'log')),
        timer,
        journal,
        random: new Random(Math.floor(Math.random() * 2 ** 31)),
        address,
        seeds: otherReplicas.map(createReplicaName),
        contacts: () => contacts().map(createReplicaName),
        founder: bootstrapReplicas[0] === address,
        admission: new AdmitAsLearner((replica) => this.#keeper?.isLeaving(replica) ?? false),
        heartbeatMs: groupTimes.heartbeatMs,
        leaseMs: groupTimes.leaseMs,
        electionTimeoutMs: groupTimes.electionTimeoutMs,
        maxCommandBytes: MAX_COMMAND_BYTES,
        segmentBytes: SEGMENT_BYTES,
        snapshotBytes: SNAPSHOT_BYTES,
        snapshotEntries: SNAPSHOT_ENTRIES,
        trailingEntries: TRAILING_ENTRIES,
      });
      if (opened.isErr()) throw opened.error;
      this.#attachReplica(opened.value);
    } catch (error) {
      this.#handleFailure(error);
    }
  }

  /** Whether this replica leads and holds its lease, so that external side effects are allowed. */
  get isLeader(): boolean {
    return this.#replica?.holdsLease ?? false;
  }

  /** Time for which this replica has led without interruption, in milliseconds. */
  get leadershipMs(): number {
    return this.isLeader ? this.#options.timer.now() - this.#leaderSince : 0;
  }

  get term(): number {
    return this.#replica?.status.term ?? 0;
  }

  /** Addresses of all members. */
  get members(): string[] {
    return this.#replica?.status.membership.members.map(({ replica }) => replica) ?? [];
  }

  /** Commits a document; resolves once a quorum has stored it on disk. */
  configure(version: number, body: Uint8Array): Promise<Result<ConfigureOutcome, Failure>> {
    return this.#propose<ConfigureOutcome>({ type: 'configure', version, body });
  }

  /** Commits the start or the end of an evacuation; resolves once a quorum has stored it on disk. */
  evacuate({
    dataCentre,
    isEvacuated,
    basis,
  }: EvacuationOrder): Promise<Result<EvacuateOutcome, Failure>> {
    return this.#propose<EvacuateOutcome>({ type: 'evacuate', dataCentre, isEvacuated, basis });
  }

  /** The newest document, confirmed by a quorum after this call. */
  async readNewest(): Promise<Result<StoredConfiguration | undefined, Failure>> {
    const confirmed = await this.#propose<null>({ type: 'confirm' });
    return confirmed.map(() => this.stateMachine.configuration);
  }

  /** Freezes the counts of a window; resolves to the stored counts, which may be earlier ones. */
  async closeWindow(window: number, counts: string): Promise<Result<string, Failure>> {
    const closed = await this.#propose<string>({ type: 'closeWindow', window, counts });
    if (closed.isOk())
      this.#options.journal.record(registryEvents.windowClosed, { window, counts });
    return closed;
  }

  /** Records on the leader whether the instance at an address is about to stop. */
  setLeaving(address: string, isLeaving: boolean): void {
    this.#keeper?.setLeaving(createReplicaName(address), isLeaving);
    if (isLeaving) this.#checkReplica();
  }

  /** Whether this replica is a voter of the latest committed membership that it knows. */
  get hasVote(): boolean {
    const status = this.#replica?.status;
    return (status?.settledMembership.members ?? []).some(
      ({ incarnation, kind }) => incarnation === status?.identity.incarnation && kind === 'voter',
    );
  }

  /** Whether a stop should wait until another replica has this one's vote. */
  mustAwaitHandOver(isConnected: (address: string) => boolean): boolean {
    const replica = this.#replica;
    if (!replica) return false;
    const { identity, settledMembership } = replica.status;
    return mustAwaitHandOver({
      members: settledMembership.members,
      own: identity.incarnation,
      target: this.#voterTarget,
      isConnected,
      limits: groupTimes.limits,
      silenceMs: (incarnation) => replica.contactWith(incarnation).knownSilenceMs,
      isLeaving: (name) => this.#keeper?.isLeaving(name) ?? false,
    });
  }

  /**
   * Gives leadership up from now on whenever this replica has it, once the votes of silent members are moved. It may
   * be elected again until its process ends.
   */
  startLeaving(onFailure: (error: unknown) => void): void {
    const leave = (): void => {
      this.#keeper?.leave().catch(onFailure);
    };
    leave();
    this.#store.add(this.#options.timer.every(groupTimes.leaveIntervalMs, leave));
  }

  /** Transfers leadership to another replica at once, if this one has it. */
  async transferLeadership(): Promise<void> {
    if (this.isLeader) await this.#keeper?.transferLeadership();
  }

  [Symbol.dispose](): void {
    this.#isClosed = true;
    this.#store[Symbol.dispose]();
    this.#close();
  }

  /** Number of voters that bears the losses that the settings allow. */
  get #voterTarget(): number {
    return 2 * this.#options.tolerance + 1;
  }

  #attachReplica(replica: Replica): void {
    this.#replica = replica;
    this.#keeper = this.#createKeeper(replica);
    replica.onRole = ({ role }) => {
      this.#leaderSince = role === 'leader' ? this.#options.timer.now() : Infinity;
      this.onRole();
    };
    if (this.#isClosed) this.#close();
  }

  #createKeeper(replica: Replica): MembershipKeeper {
    const { timer, journal } = this.#options;
    return new MembershipKeeper({
      replica,
      timer,
      target: this.#voterTarget,
      limits: groupTimes.limits,
      onPlanned: (step, members) =>
        journal.record(registryEvents.membershipPlanned, { ...step, members }),
      onRefused: (step, { message }) =>
        journal.record(registryEvents.membershipRefused, { ...step, message }),
    });
  }

  async #propose<T>(command: RegistryCommand): Promise<Result<T, Failure>> {
    const replica = this.#replica;
    if (!replica) return fail(registryCodes.replicaClosed, 'the replica is not open');
    const applied = await replica.propose(encodeCommand(command));
    if (applied.isOk()) return ok(unpackr.unpack(applied.value.result) as T);
    const { code, message } = applied.error;
    this.#options.journal.record(registryEvents.proposalFailed, {
      type: command.type,
      code: code.number,
      message,
    });
    return err(applied.error);
  }

  #checkReplica(): void {
    const failure = this.#replica?.status.failure;
    if (failure) this.#handleFailure(failure);
    else this.#keeper?.check();
  }

  #handleFailure(error: unknown): void {
    const { journal, timer } = this.#options;
    journal.record(registryEvents.replicaFailed, { error: String(error) });
    this.#close();
    if (!this.#isClosed) this.#store.add(timer.after(REOPEN_DELAY_MS, () => this.open()));
  }

  #close(): void {
    const { journal } = this.#options;
    this.#replica?.close().catch((error: unknown) => {
      journal.record(registryEvents.replicaFailed, { error: String(error) });
    });
    this.#replica = undefined;
    this.#keeper = undefined;
    this.#leaderSince = Infinity;
  }
}
