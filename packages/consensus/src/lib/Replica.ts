import { err, ok, type Result } from 'neverthrow';
import { createActor } from 'xstate';
import { DisposableStore, Failure, assert, fail } from '@berylwood/base';
import { Applier } from './Applier';
import { consensusCodes } from './codes';
import { contactWith, type MemberContact } from './contactWith';
import { Core } from './Core';
import { dispatch } from './dispatch';
import { Elector } from './Elector';
import { EntryKind, type Entry } from './Entry';
import { consensusEvents } from './events';
import { Follower } from './Follower';
import type { Incarnation, ReplicaName } from './ids';
import { Joiner } from './Joiner';
import { Leader } from './Leader';
import { Leadership } from './Leadership';
import { decodeMembership, type Membership, reportedMembership } from './Membership';
import type { Message } from './Message';
import { openCore } from './openCore';
import { Proposals } from './Proposals';
import { ReplicatedLog, type Applied, type LogStatus } from './ReplicatedLog';
import type { ReplicaStatus } from './ReplicaStatus';
import { withDefaults, type ReplicaOptions } from './ReplicaOptions';
import { roleMachine, type Role, type RoleEffects } from './roleMachine';

/** Number of deadline checks per heartbeat interval. @internal */
export const TICKS_PER_HEARTBEAT = 2;

/** Timeout of `transferLeadership`, in election timeouts. */
const TRANSFER_TIMEOUT_ELECTIONS = 3;

/** One replica of a replicated log, which it stores on a disk. @public */
export class Replica extends ReplicatedLog {
  /** Called when a membership change is committed; the membership includes member addresses. */
  onMembership: (membership: Membership) => void = () => {};

  readonly #core: Core;

  readonly #elector: Elector;

  readonly #follower: Follower;

  readonly #applier: Applier;

  readonly #joiner: Joiner;

  readonly #proposals: Proposals;

  readonly #disposables = new DisposableStore();

  readonly #actor;

  #leadership: Leadership | undefined;

  #failure: Failure | undefined;

  #roleWaiters: (() => void)[] = [];

  private constructor(core: Core) {
    super();
    this.#core = core;
    this.#elector = new Elector(core);
    this.#follower = new Follower(core);
    this.#applier = new Applier(core);
    this.#joiner = new Joiner(core);
    const { maxProposals, maxProposalBytes } = core.settings;
    this.#proposals = new Proposals(maxProposals, maxProposalBytes);
    this.#actor = createActor(roleMachine, { input: { effects: this.#createEffects() } });
    core.onFailure = (failure) => this.#stop(failure);
    core.store.onFailure = (failure) => this.#stop(failure);
  }

  /**
   * Reads the disk and starts the replica. Fails with `logDamaged`, `versionUnknown` or
   * `diskFailed`, and with `internal` if the state machine cannot restore its snapshot.
   */
  static async open(options: ReplicaOptions): Promise<Result<Replica, Failure>> {
    const settings = withDefaults(options);
    assert(
      settings.leaseMs <= settings.electionTimeoutMs,
      'leaseMs must not exceed electionTimeoutMs',
    );
    assert(settings.heartbeatMs < settings.leaseMs, 'heartbeatMs must be less than leaseMs');
    const opened = await openCore(settings);
    if (opened.isErr()) return err(opened.error);
    const replica = new Replica(opened.value.core);
    const { snapshot } = opened.value;
    if (snapshot) replica.#applier.restore(snapshot);
    if (replica.#failure) return err(replica.#failure);
    replica.#start();
    return ok(replica);
  }

  override get status(): ReplicaStatus {
    const { identity, term, leader, commitIndex, membership, store } = this.#core;
    return {
      replica: identity.replica,
      role: this.#publicRole,
      term,
      leader: leader?.replica,
      commitIndex,
      appliedIndex: this.#applier.appliedIndex,
      identity,
      membership: membership.latest,
      settledMembership: reportedMembership(membership.at(commitIndex)),
      failure: this.#failure,
      lastIndex: store.lastIndex,
      snapshotIndex: store.snapshotIndex,
      syncs: store.syncs,
    };
  }

  override async propose(command: Uint8Array): Promise<Result<Applied, Failure>> {
    if (!this.#leadership) return this.#notLeaderFailure();
    return this.#leadership.leader.propose(command);
  }

  override async barrier(): Promise<Result<number, Failure>> {
    if (!this.#leadership) return this.#notLeaderFailure();
    const index = this.#leadership.leader.readIndex();
    if (index.isErr()) return index;
    const isApplied = await this.#applier.waitFor(index.value);
    return isApplied ? index : this.#notLeaderFailure();
  }

  override get holdsLease(): boolean {
    return this.#leadership?.leader.holdsLease ?? false;
  }

  override get leaseEndsAt(): number {
    return this.holdsLease ? this.#ownLeaseEnd : 0;
  }

  /**
   * Transfers leadership to a voter that replies and is not excluded. The lease of the new leader may
   * begin at once, so no effect guarded by this replica's lease may be in flight when this is called.
   */
  override async transferLeadership(
    isExcluded: (replica: ReplicaName) => boolean = () => false,
  ): Promise<void> {
    const leadership = this.#leadership;
    if (!leadership?.startTransfer(isExcluded)) return;
    const deadline =
      this.#core.now + TRANSFER_TIMEOUT_ELECTIONS * this.#core.settings.electionTimeoutMs;
    const isOver = (): boolean =>
      this.#core.role === 'stopped' ||
      this.#core.now >= deadline ||
      (this.#leadership === leadership
        ? !leadership.isTransferring
        : this.#core.leader !== undefined);
    while (!isOver()) {
      await new Promise<void>((resolve) => {
        this.#roleWaiters.push(resolve);
      });
    }
  }

  /** Lets the other voters stand for election first from now on, as this replica is about to stop. */
  yieldElections(): void {
    if (this.#core.isYielding) return;
    this.#core.isYielding = true;
    this.#core.resetElectionDeadline();
  }

  /** Admits a replica by name, as a voter or permanent learner; it is added on its join request. */
  async addReplica(replica: ReplicaName, voter = true): Promise<Result<void, Failure>> {
    if (!this.#leadership) return this.#notLeaderFailure();
    return this.#leadership.changer.admit(replica, voter);
  }

  /** Removes a replica; a leader that removes itself steps down once the removal is committed. */
  async removeReplica(replica: ReplicaName): Promise<Result<void, Failure>> {
    if (!this.#leadership) return this.#notLeaderFailure();
    return this.#leadership.changer.remove(replica);
  }

  /** Removes one member; other incarnations of its replica stay. */
  async removeMember(incarnation: Incarnation): Promise<Result<void, Failure>> {
    if (!this.#leadership) return this.#notLeaderFailure();
    return this.#leadership.changer.removeMember(incarnation);
  }

  /** Promotes a learner (`joining`), or makes a member a learner without a vote. */
  async assignKind(
    incarnation: Incarnation,
    kind: 'joining' | 'learner',
  ): Promise<Result<void, Failure>> {
    if (!this.#leadership) return this.#notLeaderFailure();
    return this.#leadership.changer.assignKind(incarnation, kind);
  }

  /** Milliseconds since this replica was elected; 0 while it does not lead. */
  get leadershipMs(): number {
    return this.#leadership?.leader.leadershipMs ?? 0;
  }

  /** What this replica knows of the contact with a member. */
  contactWith(incarnation: Incarnation): MemberContact {
    return contactWith(this.#core, this.#leadership?.leader, incarnation);
  }

  override async close(): Promise<void> {
    this.#core.sendRoleEvent({ type: 'stop' });
    await this.#core.store.close();
  }

  /** End of the lease that a quorum has granted, even if it may not be used yet. */
  get #ownLeaseEnd(): number {
    return this.#leadership?.leader.lease.endsAt ?? 0;
  }

  get #publicRole(): LogStatus['role'] {
    const { role } = this.#core;
    if (role === 'preCandidate') return 'candidate';
    return role === 'stopped' ? 'follower' : role;
  }

  #notLeaderFailure<T>(): Result<T, Failure> {
    if (this.#core.role === 'stopped') {
      const cause = this.#failure?.message ?? 'closed';
      return fail(consensusCodes.stopped, `the replica is stopped: ${cause}`);
    }
    const { leader } = this.#core;
    return fail(
      consensusCodes.notLeader,
      `not the leader; the leader is ${leader?.replica ?? 'unknown'}`,
    );
  }

  #start(): void {
    const core = this.#core;
    const { timer, transport, heartbeatMs, journal } = core.settings;
    core.sendRoleEvent = (event) => {
      if (core.role !== 'stopped') this.#actor.send(event);
    };
    core.onCommit = () => this.#applier.apply();
    core.store.onSynced = () => this.#onSynced();
    core.store.onBeforeWrite = () => this.#leadership?.leader.replicator.replicate();
    this.#elector.ownLeaseEnd = () => this.#ownLeaseEnd;
    this.#follower.onRestore = (snapshot) => this.#applier.restore(snapshot);
    this.#applier.onEntry = (entry, result) => this.#onEntry(entry, result);
    transport.onMessage = (message) => this.#receive(message);
    this.#disposables.add(timer.every(heartbeatMs / TICKS_PER_HEARTBEAT, () => this.#tick()));
    this.#disposables.add(this.#applier);
    this.#disposables.defer(() => {
      transport.onMessage = () => {};
    });
    this.#actor.start();
    core.updateVotingRole();
    const { lastIndex } = core.store;
    journal.record(consensusEvents.replicaOpened, { ...core.identity, term: core.term, lastIndex });
    this.#joiner.tick();
  }

  #tick(): void {
    const core = this.#core;
    this.#resolveRoleWaiters();
    if (this.#leadership) this.#leadership.tick();
    else if (core.now >= core.electionDeadline && !core.installing && !core.isSaving) {
      core.setElectionRetryDeadline();
      core.sendRoleEvent({ type: 'electionTimeout' });
    }
    this.#joiner.tick();
  }

  #receive(message: Message): void {
    dispatch(message, {
      core: this.#core,
      elector: this.#elector,
      follower: this.#follower,
      joiner: this.#joiner,
      leader: () => this.#leadership?.leader,
      changer: () => this.#leadership?.changer,
    });
  }

  #onSynced(): void {
    if (this.#leadership) this.#leadership.leader.advanceCommit();
    else this.#follower.acknowledge();
    this.#applier.saveSnapshot();
  }

  #onEntry(entry: Entry, result: Uint8Array): void {
    this.#proposals.settle(entry.index, result);
    if (entry.kind === EntryKind.Command) this.onApplied(entry.index, entry.data, result);
    if (entry.kind !== EntryKind.Membership) return;
    const { index } = entry;
    this.#core.settings.journal.record(consensusEvents.membershipCommitted, { index });
    this.onMembership(decodeMembership(entry.data));
  }

  #createEffects(): RoleEffects {
    const core = this.#core;
    return {
      skipPreVote: core.settings.unsafe.skipPreVote ?? false,
      entered: (role) => this.#setRole(role),
      startPreVote: () => this.#elector.startPreVote(),
      startVote: () => this.#elector.startVote(),
      startLeading: () => this.#startLeading(),
      stopLeading: () => this.#stopLeading(),
      release: () => this.#disposables[Symbol.dispose](),
    };
  }

  #setRole(role: Role): void {
    const core = this.#core;
    if (core.role === role) return;
    const wasLeader = core.role === 'leader';
    core.role = role;
    core.settings.journal.record(consensusEvents.roleChanged, { role, term: core.term });
    if (role === 'leader') core.leader = core.identity;
    if (wasLeader) this.onRole(this.status);
  }

  #startLeading(): void {
    const leader = new Leader(this.#core, this.#proposals, this.#elector.leaseRemainingMs);
    this.#leadership = new Leadership(this.#core, leader);
    leader.start();
    this.onRole(this.status);
  }

  #stopLeading(): void {
    const leadership = this.#leadership;
    this.#leadership = undefined;
    leadership?.[Symbol.dispose]();
    if (this.#core.leader && this.#core.isSelf(this.#core.leader)) this.#core.leader = undefined;
    this.#core.resetElectionDeadline();
    this.#resolveRoleWaiters();
  }

  #resolveRoleWaiters(): void {
    if (this.#roleWaiters.length === 0) return;
    const waiters = this.#roleWaiters;
    this.#roleWaiters = [];
    waiters.forEach((resolve) => resolve());
  }

  #stop(failure: Failure): void {
    if (this.#failure) return;
    this.#failure = failure;
    const { code, message } = failure;
    this.#core.settings.journal.record(consensusEvents.replicaStopped, {
      code: code.name,
      message,
    });
    this.#core.sendRoleEvent({ type: 'stop' });
  }
}
