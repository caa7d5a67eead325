import { ok, type Result } from 'neverthrow';
import { fail, type Failure } from '@berylwood/base';
import { consensusCodes } from './codes';
import type { Core } from './Core';
import { EntryKind, entryBytes, type Entry } from './Entry';
import { consensusEvents } from './events';
import type { Identity, Incarnation } from './ids';
import { LeaderLease } from './LeaderLease';
import { quorumValue } from './Membership';
import type { AppendReply, LeaseStamp, Message, SnapshotReply } from './Message';
import type { Progress } from './Progress';
import type { Proposals } from './Proposals';
import type { Applied } from './ReplicatedLog';
import { Replicator } from './Replicator';

const NO_DATA = new Uint8Array();

/** A member has replied just now if it replied to a message sent within this many heartbeat intervals. */
const RECENT_HEARTBEATS = 2;

/** Leader of one term: accepts and commits proposals, and holds the lease. @internal */
export class Leader implements Disposable {
  readonly replicator: Replicator;

  readonly lease: LeaderLease;

  readonly #core: Core;

  readonly #proposals: Proposals;

  /** Time until which an earlier leader may hold its lease; nothing is committed before. */
  readonly #earlierLeaseUntil: number;

  readonly #startedAt: number;

  /** Index of the entry that this leader appended on its election. */
  readonly #firstIndex: number;

  #lastHeartbeatAt = -Infinity;

  #isRejecting = false;

  constructor(core: Core, proposals: Proposals, leaseRemainingMs: number) {
    const { timer, leaseMs, clockRateBound, unsafe } = core.settings;
    this.#core = core;
    this.#proposals = proposals;
    this.#startedAt = core.now;
    const waitMs = unsafe.skipLeaseWait ? 0 : leaseRemainingMs * (1 + clockRateBound);
    this.#earlierLeaseUntil = this.#startedAt + waitMs;
    this.lease = new LeaderLease(timer, leaseMs, clockRateBound, unsafe.ignoreWallClock);
    this.replicator = new Replicator(core);
    this.#firstIndex = core.store.lastIndex + 1;
  }

  /** Appends the first entry of the term and sends heartbeats. */
  start(): void {
    this.append(EntryKind.Noop, NO_DATA);
    this.tick();
  }

  /** Time since the election, in milliseconds. */
  get leadershipMs(): number {
    return this.#core.now - this.#startedAt;
  }

  /** Whether an entry of this term is committed, which implies that all earlier ones are. */
  get isEstablished(): boolean {
    return this.#core.commitIndex >= this.#firstIndex;
  }

  get holdsLease(): boolean {
    return this.isEstablished && this.#core.now >= this.#earlierLeaseUntil && this.lease.isHeld;
  }

  /** Appends a command to the log; resolves once it is applied or its outcome is unknown. */
  propose(command: Uint8Array): Promise<Result<Applied, Failure>> {
    const { maxCommandBytes } = this.#core.settings;
    if (command.byteLength > maxCommandBytes) {
      const message = `command of ${command.byteLength} bytes exceeds limit of ${maxCommandBytes}`;
      return Promise.resolve(fail(consensusCodes.commandTooLarge, message));
    }
    if (this.#isRejecting) {
      return Promise.resolve(fail(consensusCodes.transferring, 'leadership transfer in progress'));
    }
    if (!this.#proposals.hasRoomFor(command.byteLength)) {
      return Promise.resolve(fail(consensusCodes.queueFull, 'too many proposals are pending'));
    }
    const entry = this.append(EntryKind.Command, command);
    return this.#proposals.add(entry.index, command.byteLength);
  }

  append(kind: EntryKind, data: Uint8Array): Entry {
    const { term, store } = this.#core;
    const entry: Entry = { index: store.lastIndex + 1, term, kind, data };
    this.#core.append([entry]);
    return entry;
  }

  /** Resolves once an entry is applied or its outcome is unknown. */
  waitFor(entry: Entry): Promise<Result<Applied, Failure>> {
    return this.#proposals.add(entry.index, entryBytes(entry));
  }

  /** Whether leadership is being transferred, so that no entry may be appended. */
  get isRejecting(): boolean {
    return this.#isRejecting;
  }

  /** Starts or stops rejecting proposals. */
  setRejecting(isRejecting: boolean): void {
    this.#isRejecting = isRejecting;
  }

  progress(incarnation: Incarnation): Progress | undefined {
    return this.replicator.progress(incarnation);
  }

  onAppendReply({ from, body }: Message<AppendReply>): void {
    const progress = this.progress(from.incarnation);
    if (!progress) return;
    this.#recordStamp(progress, body.stamp);
    if (body.accepted) {
      progress.recordAccepted(body.match);
      this.advanceCommit();
    } else progress.recordRejected(body.hint);
    this.replicator.sendTo(progress);
  }

  onSnapshotReply({ from, body }: Message<SnapshotReply>): void {
    const progress = this.progress(from.incarnation);
    if (!progress) return;
    this.#recordStamp(progress, body.stamp);
    this.replicator.continueSnapshot(progress, body);
  }

  /** Sends due heartbeats; steps down without replies from a quorum for an election timeout. */
  tick(): void {
    const { now, settings } = this.#core;
    if (now - this.#lastHeartbeatAt >= settings.heartbeatMs) {
      this.#lastHeartbeatAt = now;
      this.replicator.heartbeat();
      this.#renewLease();
    }
    const quorumContactAt = Math.max(this.#quorumStamp.mono, this.#startedAt);
    if (now - quorumContactAt > settings.electionTimeoutMs) {
      settings.journal.record(consensusEvents.quorumLost, { term: this.#core.term });
      this.#core.sendRoleEvent({ type: 'quorumLost' });
      return;
    }
    this.advanceCommit();
  }

  /** Commits the entries that a quorum has synced. */
  advanceCommit(): void {
    const core = this.#core;
    if (core.now < this.#earlierLeaseUntil) return;
    const index = quorumValue(core.voterSets, (incarnation) => this.#matchOf(incarnation));
    if (index <= core.commitIndex) return;
    const isOwnTerm = core.store.term(index) === core.term;
    if (!isOwnTerm && !core.settings.unsafe.commitOlderTerms) return;
    core.commitTo(index);
    this.replicator.announceCommit();
  }

  /** Returns the commit index for a barrier; the lease proves that there is no later one. */
  readIndex(): Result<number, Failure> {
    if (this.holdsLease) return ok(this.#core.commitIndex);
    return fail(consensusCodes.leaseNotHeld, 'the leader does not hold its lease');
  }

  [Symbol.dispose](): void {
    // As a voter, this replica must also honour the lease that it held as leader.
    const { term, grantedLease } = this.#core;
    const expiresAt = Math.max(grantedLease.expiresAt, this.lease.endsAt);
    this.#core.grantedLease = { term, expiresAt };
    this.replicator[Symbol.dispose]();
    this.#proposals.failAll();
  }

  #recordStamp(progress: Progress, stamp: LeaseStamp): void {
    progress.recordStamp(stamp);
    this.#core.contacts.record(progress.identity.incarnation, progress.stamp.mono);
    this.#renewLease();
  }

  #renewLease(): void {
    this.lease.renew(this.#quorumStamp);
  }

  /** Latest stamp that a quorum has echoed; this replica counts with its current time. */
  get #quorumStamp(): LeaseStamp {
    const { voterSets, settings, identity } = this.#core;
    const own = { mono: settings.timer.now(), wall: settings.timer.wall() };
    const none = { mono: -Infinity, wall: -Infinity };
    const stampOf = (incarnation: Incarnation): LeaseStamp =>
      incarnation === identity.incarnation ? own : (this.progress(incarnation)?.stamp ?? none);
    return {
      mono: quorumValue(voterSets, (incarnation) => stampOf(incarnation).mono),
      wall: quorumValue(voterSets, (incarnation) => stampOf(incarnation).wall),
    };
  }

  #matchOf(incarnation: Incarnation): number {
    if (incarnation === this.#core.identity.incarnation) return this.#core.syncedIndex;
    return this.progress(incarnation)?.match ?? 0;
  }

  /**
   * Other voters that replied within the last election timeout, the best successor first: one that replied just
   * now goes before a more advanced one that may be gone.
   */
  get successors(): Identity[] {
    const { membership, now, settings } = this.#core;
    const { heartbeatMs, electionTimeoutMs } = settings;
    const isRecent = ({ stamp }: Progress): boolean =>
      now - stamp.mono <= RECENT_HEARTBEATS * heartbeatMs;
    const candidates = membership.latest.members
      .filter((member) => member.kind === 'voter' && !this.#core.isSelf(member))
      .flatMap((member) => this.progress(member.incarnation) ?? [])
      .filter(({ stamp }) => now - stamp.mono <= electionTimeoutMs);
    candidates.sort(
      (a, b) =>
        Number(isRecent(b)) - Number(isRecent(a)) ||
        b.match - a.match ||
        b.stamp.mono - a.stamp.mono,
    );
    return candidates.map(({ identity }) => identity);
  }
}
