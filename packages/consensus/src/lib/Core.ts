import { assert, Failure } from '@berylwood/base';
import { consensusCodes } from './codes';
import { EntryKind, type Entry } from './Entry';
import { consensusEvents } from './events';
import type { GroupId, Identity, Incarnation, ReplicaName } from './ids';
import type { LogStore } from './LogStore';
import { MemberContacts } from './MemberContacts';
import { decodeMembership, voterSets, voters, type Membership } from './Membership';
import type { MembershipHistory } from './MembershipHistory';
import type { Contact, MessageBody, Message } from './Message';
import type { HardState } from './records';
import type { ReplicaSettings } from './ReplicaOptions';
import type { Role, RoleEvent } from './roleMachine';
import type { TimedDisk } from './TimedDisk';

/** Minimum delay before an election is retried, as a fraction of the election timeout. */
const MIN_RETRY_FRACTION = 0.2;

/** Limit on messages that wait for the disk; more are dropped, as a lossy network would. */
const MAX_PENDING_ACTIONS = 1024;

/** A lease that this replica granted to the leader of a term, by its own monotonic clock. */
interface GrantedLease {
  readonly term: number;
  readonly expiresAt: number;
}

interface CoreParts {
  readonly settings: ReplicaSettings;
  readonly identity: Identity;
  readonly store: LogStore;
  readonly disk: TimedDisk;
  readonly membership: MembershipHistory;
  /** Time until which a lease granted before a restart may be valid. */
  readonly preRestartLeaseUntil: number;
}

/**
 * State shared by the components of a replica: log, term and vote, membership, commit index.
 * Messages are sent only once the term and vote that they depend on are durable.
 * @internal
 */
export class Core {
  readonly settings: ReplicaSettings;

  readonly identity: Identity;

  readonly store: LogStore;

  readonly membership: MembershipHistory;

  readonly preRestartLeaseUntil: number;

  /** Latest contacts with the other members, which outlast changes of the leader. */
  readonly contacts = new MemberContacts();

  role: Role = 'learner';

  leader: Identity | undefined;

  grantedLease: GrantedLease = { term: 0, expiresAt: 0 };

  electionDeadline = 0;

  /** Whether this replica stands for election later than the others, as it is about to stop. */
  isYielding = false;

  /** Whether a snapshot from the leader is being installed in place of the log. */
  installing = false;

  /** Sends an event to the role state machine. */
  sendRoleEvent: (event: RoleEvent) => void = () => {};

  /** Called when the commit index has advanced. */
  onCommit: () => void = () => {};

  /** Called when the disk or the state machine has failed. */
  onFailure: (failure: Failure) => void = () => {};

  readonly #disk: TimedDisk;

  #commitIndex: number;

  #pendingActions: (() => void)[] = [];

  #isSaving = false;

  #isDirty = false;

  constructor(parts: CoreParts) {
    this.settings = parts.settings;
    this.identity = parts.identity;
    this.store = parts.store;
    this.#disk = parts.disk;
    this.membership = parts.membership;
    this.preRestartLeaseUntil = parts.preRestartLeaseUntil;
    this.#commitIndex = parts.store.snapshotIndex;
    this.resetElectionDeadline();
  }

  get now(): number {
    return this.settings.timer.now();
  }

  get term(): number {
    return this.store.state.term;
  }

  get vote(): Incarnation | '' {
    return this.store.state.vote;
  }

  get group(): GroupId | '' {
    return this.store.state.group;
  }

  get commitIndex(): number {
    return this.#commitIndex;
  }

  /** Index up to which this replica may acknowledge entries. */
  get syncedIndex(): number {
    const { unsafe } = this.settings;
    return unsafe.acknowledgeUnsynced ? this.store.lastIndex : this.store.syncedIndex;
  }

  /**
   * Whether this replica may start elections. It still may until its removal is committed,
   * because its vote and its log may be needed to commit the removal.
   */
  get isVoter(): boolean {
    const { latest, latestIndex } = this.membership;
    const isVoterIn = (membership: Membership): boolean =>
      voters(membership).includes(this.identity.incarnation);
    if (isVoterIn(latest)) return true;
    return latestIndex > this.#commitIndex && isVoterIn(this.membership.at(latestIndex - 1));
  }

  /** Voter sets; a decision needs a quorum of each. */
  get voterSets(): (readonly Incarnation[])[] {
    return voterSets(this.membership.latest);
  }

  isSelf(identity: Pick<Identity, 'incarnation'>): boolean {
    return identity.incarnation === this.identity.incarnation;
  }

  /** The other members. */
  get peers(): Identity[] {
    return this.membership.latest.members.filter((member) => !this.isSelf(member));
  }

  /** Appends entries to the log; memberships among them take effect at once. */
  append(entries: readonly Entry[]): void {
    const [first] = entries;
    if (!first) return;
    assert(first.index > this.#commitIndex, 'committed entries must not be replaced');
    if (first.index <= this.store.lastIndex) this.membership.truncate(first.index);
    this.store.append(entries);
    for (const entry of entries) {
      if (entry.kind !== EntryKind.Membership) continue;
      this.membership.add(entry.index, decodeMembership(entry.data));
    }
    this.updateVotingRole();
  }

  /** Makes this replica a learner or a voter according to the current membership. */
  updateVotingRole(): void {
    this.sendRoleEvent({ type: this.isVoter ? 'voteGained' : 'voteLost' });
  }

  commitTo(index: number): void {
    if (index <= this.#commitIndex) return;
    const hasNewMembership =
      this.membership.latestIndex > this.#commitIndex && this.membership.latestIndex <= index;
    this.#commitIndex = index;
    this.onCommit();
    if (!hasNewMembership) return;
    this.#saveWasMember();
    this.updateVotingRole();
  }

  /** Saves that this incarnation has been a member, once a membership with it is committed. */
  #saveWasMember(): void {
    const isMember = this.membership.find(this.identity.incarnation) !== undefined;
    if (!isMember || this.store.state.wasMember) return;
    this.#save({ ...this.store.state, wasMember: true });
  }

  resetElectionDeadline(): void {
    const { electionTimeoutMs, random } = this.settings;
    const delayMs = random.between(electionTimeoutMs, 2 * electionTimeoutMs);
    this.electionDeadline = this.now + delayMs + (this.isYielding ? electionTimeoutMs : 0);
  }

  /** Sets the deadline of a started election; it is earlier, to retry soon after a split vote. */
  setElectionRetryDeadline(): void {
    const { electionTimeoutMs, random } = this.settings;
    const delayMs = random.between(MIN_RETRY_FRACTION * electionTimeoutMs, electionTimeoutMs);
    this.electionDeadline = this.now + this.voteWriteMs + delayMs;
  }

  /**
   * Time that another replica is expected to take to write its vote, as far as this disk tells, in milliseconds. It is
   * bounded, as this disk may have hung.
   */
  get voteWriteMs(): number {
    return Math.min(this.#disk.replaceMs, this.settings.electionTimeoutMs);
  }

  /** Sets term and vote; messages sent afterwards wait until both are durable. */
  saveTerm(term: number, vote: Incarnation | ''): void {
    if (term > this.term) {
      this.leader = undefined;
      this.settings.journal.record(consensusEvents.termStarted, { term });
    }
    this.#save({ ...this.store.state, term, vote });
  }

  saveGroup(group: GroupId): void {
    this.#save({ ...this.store.state, group });
  }

  /** Reports a disk error as a failure of the replica. */
  handleDiskError(error: unknown): void {
    const message = `disk operation failed: ${String(error)}`;
    this.onFailure(new Failure(consensusCodes.diskFailed, message, { cause: error }));
  }

  /** Whether the term and vote are being written; messages wait until they are durable. */
  get isSaving(): boolean {
    return this.#isSaving;
  }

  /** Runs an action once the current term and vote are durable. */
  whenSaved(action: () => void): void {
    if (this.#isSaving) this.#pendingActions.push(action);
    else action();
  }

  send({ replica, incarnation }: Identity, body: MessageBody): void {
    const member = this.membership.latest.members.find((item) => item.incarnation === incarnation);
    this.#sendWhenSaved(replica, incarnation, body, member?.address ?? '');
  }

  /** Sends to a replica whose incarnation is unknown; the address may be empty. */
  sendByName({ replica, address }: Contact, body: MessageBody): void {
    this.#sendWhenSaved(replica, '', body, address);
  }

  #sendWhenSaved(
    replica: ReplicaName,
    incarnation: Incarnation | '',
    body: MessageBody,
    address: string,
  ): void {
    if (this.#pendingActions.length >= MAX_PENDING_ACTIONS) return;
    const { term, group, identity } = this;
    const message: Message = { group, from: identity, to: { replica, incarnation }, term, body };
    this.whenSaved(() => this.settings.transport.send(replica, message, address));
  }

  #save(state: HardState): void {
    this.store.setState(state);
    this.#isDirty = true;
    if (this.#isSaving) return;
    this.#isSaving = true;
    this.#saveUntilClean().catch(() => {
      // The store reports the failure through `onFailure`, which stops the replica.
    });
  }

  async #saveUntilClean(): Promise<void> {
    while (this.#isDirty) {
      this.#isDirty = false;
      await this.store.saveState();
    }
    this.#isSaving = false;
    const actions = this.#pendingActions;
    this.#pendingActions = [];
    for (const action of actions) action();
  }
}
