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

const EMPTY = new Uint8Array();

/** Leadership of one term: takes proposals, commits them, and holds the lease. @internal */
export class Leader implements Disposable {
  readonly replicator: Replicator;

  readonly lease: LeaderLease;

  readonly #core: Core;

  readonly #proposals: Proposals;

  /** Time until which an earlier leader may hold its lease. */
  readonly #waitsUntil: number;

  readonly #startedAt: number;

  /** Index of the entry that this leader appended on its election. */
  readonly #firstIndex: number;

  #heartbeatAt = -Infinity;

  #isRefusing = false;

  constructor(core: Core, proposals: Proposals, leaseRemainingMs: number) {
    const { timer, leaseMs, clockRateBound, unsafe } = core.settings;
    this.#core = core;
    this.#proposals = proposals;
    this.#startedAt = core.now;
    const waitMs = unsafe.skipLeaseWait ? 0 : leaseRemainingMs * (1 + clockRateBound);
    this.#waitsUntil = this.#startedAt + waitMs;
    this.lease = new LeaderLease(timer, leaseMs, clockRateBound, unsafe.ignoreWallClock);
    this.replicator = new Replicator(core);
    this.#firstIndex = core.store.lastIndex + 1;
  }

  /** Appends the first entry of the term and sends heartbeats. */
  start(): void {
    this.append(EntryKind.Noop, EMPTY);
    this.tick();
  }

  /** Whether an entry of this term is committed, so that all earlier ones are known to be. */
  get isEstablished(): boolean {
    return this.#core.commitIndex >= this.#firstIndex;
  }

  get holdsLease(): boolean {
    return this.isEstablished && this.#core.now >= this.#waitsUntil && this.lease.isHeld;
  }

  /** Takes a command into the log; the result tells whether it was applied. */
  propose(command: Uint8Array): Promise<Result<Applied, Failure>> {
    const { maxCommandBytes } = this.#core.settings;
    if (command.byteLength > maxCommandBytes) {
      const message = `command of ${command.byteLength} bytes, at most ${maxCommandBytes}`;
      return Promise.resolve(fail(consensusCodes.commandTooLarge, message));
    }
    if (this.#isRefusing) {
      return Promise.resolve(fail(consensusCodes.transferring, 'leadership is handed over'));
    }
    if (!this.#proposals.hasRoomFor(command.byteLength)) {
      return Promise.resolve(fail(consensusCodes.queueFull, 'too many proposals wait'));
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

  /** Waits for the entry of an index to be applied. */
  waitFor(entry: Entry): Promise<Result<Applied, Failure>> {
    return this.#proposals.add(entry.index, entryBytes(entry));
  }

  /** Refuses proposals from now on, or takes them again. */
  refuse(isRefusing: boolean): void {
    this.#isRefusing = isRefusing;
  }

  progress(incarnation: Incarnation): Progress | undefined {
    return this.replicator.progress(incarnation);
  }

  onAppendReply({ from, body }: Message<AppendReply>): void {
    const progress = this.progress(from.incarnation);
    if (!progress) return;
    this.#heard(progress, body.stamp);
    if (body.accepted) {
      progress.accepted(body.match);
      this.advance();
    } else progress.refused(body.hint);
    this.replicator.sendTo(progress);
  }

  onSnapshotReply({ from, body }: Message<SnapshotReply>): void {
    const progress = this.progress(from.incarnation);
    if (!progress) return;
    this.#heard(progress, body.stamp);
    this.replicator.continueSnapshot(progress, body);
  }

  /** Sends heartbeats in time, and steps down when a quorum has not been heard for too long. */
  tick(): void {
    const { now, settings } = this.#core;
    if (now - this.#heartbeatAt >= settings.heartbeatMs) {
      this.#heartbeatAt = now;
      this.replicator.heartbeat();
      this.#renewLease();
    }
    const heardAt = Math.max(this.#quorumStamp.mono, this.#startedAt);
    if (now - heardAt > settings.electionTimeoutMs) {
      settings.journal.record(consensusEvents.quorumLost, { term: this.#core.term });
      this.#core.sendRole({ type: 'quorumLost' });
      return;
    }
    this.advance();
  }

  /** Commits what a quorum has synced. */
  advance(): void {
    const core = this.#core;
    if (core.now < this.#waitsUntil) return;
    const index = quorumValue(core.quorums, (incarnation) => this.#matchOf(incarnation));
    if (index <= core.commitIndex) return;
    const isOwnTerm = core.store.term(index) === core.term;
    if (!isOwnTerm && !core.settings.unsafe.commitOlderTerms) return;
    core.commitTo(index);
    this.replicator.announceCommit();
  }

  /** Answers a barrier: the commit index, which a lease proves to be the latest. */
  readIndex(): Result<number, Failure> {
    if (this.holdsLease) return ok(this.#core.commitIndex);
    return fail(consensusCodes.leaseNotHeld, 'the leader does not hold its lease');
  }

  [Symbol.dispose](): void {
    // As a voter, this replica has granted the lease to itself.
    const { term, granted } = this.#core;
    const until = Math.max(granted.until, this.lease.endsAt);
    this.#core.granted = { term, until };
    this.replicator[Symbol.dispose]();
    this.#proposals.abandon();
  }

  #heard(progress: Progress, stamp: LeaseStamp): void {
    progress.heard(stamp);
    this.#renewLease();
  }

  #renewLease(): void {
    this.lease.renew(this.#quorumStamp);
  }

  /** Latest stamp that a quorum has echoed; this replica itself counts as of now. */
  get #quorumStamp(): LeaseStamp {
    const { quorums, settings, identity } = this.#core;
    const own = { mono: settings.timer.now(), wall: settings.timer.wall() };
    const none = { mono: -Infinity, wall: -Infinity };
    const stampOf = (incarnation: Incarnation): LeaseStamp =>
      incarnation === identity.incarnation ? own : (this.progress(incarnation)?.stamp ?? none);
    return {
      mono: quorumValue(quorums, (incarnation) => stampOf(incarnation).mono),
      wall: quorumValue(quorums, (incarnation) => stampOf(incarnation).wall),
    };
  }

  #matchOf(incarnation: Incarnation): number {
    if (incarnation === this.#core.identity.incarnation) return this.#core.syncedIndex;
    return this.progress(incarnation)?.match ?? 0;
  }

  /** The most advanced other voter that has been heard lately. */
  get successor(): Identity | undefined {
    const core = this.#core;
    const since = core.now - core.settings.electionTimeoutMs;
    const candidates = core.membership.latest.members
      .filter((member) => member.kind === 'voter' && !core.isSelf(member))
      .flatMap((member) => this.progress(member.incarnation) ?? [])
      .filter((progress) => progress.stamp.mono >= since);
    candidates.sort((a, b) => b.match - a.match);
    return candidates[0]?.identity;
  }
}
