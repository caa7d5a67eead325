import { assert, required } from '@berylwood/base';
import type { Core } from './Core';
import type { Entry } from './Entry';
import { consensusEvents } from './events';
import { decodeFrame } from './frame';
import type { Identity } from './ids';
import type { Append, LeaseStamp, Message, SnapshotChunk } from './Message';
import { migrate } from './migrations';
import { decodeSnapshot, type Snapshot } from './records';
import { SnapshotReceiver } from './SnapshotReceiver';

const NO_STAMP: LeaseStamp = { mono: -Infinity, wall: -Infinity };

/** Receives entries and snapshots from the leader and acknowledges synced entries. @internal */
export class Follower {
  /** Called to replace the embedder's state with that of a snapshot. */
  onRestore: (snapshot: Snapshot) => void = () => {};

  readonly #core: Core;

  readonly #receiver = new SnapshotReceiver();

  /** Index up to which the log is known to match that of the leader of `term`. */
  #verified = { term: 0, index: 0 };

  #stamp = NO_STAMP;

  #acknowledgedIndex = 0;

  constructor(core: Core) {
    this.#core = core;
  }

  onAppend(message: Message<Append>): void {
    const core = this.#core;
    if (!this.#acceptLeader(message)) return;
    this.#recordSilences(message.body);
    if (core.installing) {
      // The log cannot be compared during an installation, but the lease is granted nevertheless.
      const stamp = this.#stamp;
      core.send(message.from, { type: 'snapshotReply', index: 0, nextOffset: 0, stamp });
      return;
    }
    const { prevIndex, prevTerm, entries, commitIndex } = message.body;
    const localTerm = prevIndex < core.commitIndex ? prevTerm : core.store.term(prevIndex);
    if (localTerm !== prevTerm) {
      this.#reply(message.from, false, this.#conflictHint(prevIndex));
      return;
    }
    core.append(this.#newEntries(entries));
    const lastIndex = prevIndex + entries.length;
    this.#verified.index = Math.max(this.#verified.index, lastIndex);
    core.commitTo(Math.min(commitIndex, this.#verified.index));
    if (entries.length === 0 || core.syncedIndex >= lastIndex) this.acknowledge(true);
  }

  onSnapshotChunk(message: Message<SnapshotChunk>): void {
    const core = this.#core;
    if (!this.#acceptLeader(message) || core.installing) return;
    const { body, from } = message;
    if (body.index <= core.commitIndex) {
      this.#verified.index = Math.max(this.#verified.index, body.index);
      this.acknowledge(true);
      return;
    }
    const bytes = this.#receiver.add(message.term, body);
    if (bytes) this.#installSnapshot(bytes).catch((error: unknown) => core.handleDiskError(error));
    else {
      const { index } = body;
      const nextOffset = this.#receiver.receivedBytes;
      core.send(from, { type: 'snapshotReply', index, nextOffset, stamp: this.#stamp });
    }
  }

  /** Acknowledges synced entries to the leader if there are new ones, or always if forced. */
  acknowledge(isForced = false): void {
    const { leader, term, syncedIndex, installing } = this.#core;
    if (!leader || this.#verified.term !== term || installing) return;
    const match = Math.min(this.#verified.index, syncedIndex);
    if (!isForced && match <= this.#acknowledgedIndex) return;
    this.#acknowledgedIndex = match;
    this.#reply(leader, true, match);
  }

  /** Accepts the sender as leader and grants it a lease; false for an old term or a conflict. */
  #acceptLeader({ from, term, body }: Message<Append | SnapshotChunk>): boolean {
    const core = this.#core;
    if (term < core.term) {
      core.send(from, {
        type: 'appendReply',
        accepted: false,
        match: 0,
        hint: 0,
        stamp: body.stamp,
      });
      return false;
    }
    if (core.role === 'leader') {
      core.settings.journal.record(consensusEvents.termConflict, { term, from: from.replica });
      return false;
    }
    if (core.role === 'preCandidate' || core.role === 'candidate') {
      core.sendRoleEvent({ type: 'leaderSeen' });
    }
    core.leader = from;
    core.contacts.record(from.incarnation, core.now);
    core.grantedLease = { term, expiresAt: core.now + core.settings.leaseMs };
    core.resetElectionDeadline();
    if (this.#verified.term !== term) {
      this.#verified = { term, index: 0 };
      this.#acknowledgedIndex = 0;
      this.#stamp = NO_STAMP;
    }
    if (body.stamp.mono > this.#stamp.mono) this.#stamp = body.stamp;
    return true;
  }

  /** Takes over from the leader when it was last in contact with the other members. */
  #recordSilences({ silences = [] }: Append): void {
    const { contacts, now } = this.#core;
    for (const { incarnation, silenceMs } of silences)
      contacts.record(incarnation, now - silenceMs);
  }

  /** Entries from the first one on that the log lacks or holds with another term. */
  #newEntries(entries: readonly Entry[]): readonly Entry[] {
    const { store, commitIndex } = this.#core;
    const first = entries.findIndex(
      ({ index, term }) => index > commitIndex && store.term(index) !== term,
    );
    return first < 0 ? [] : entries.slice(first);
  }

  /** An index at which the logs may match: before the conflicting term, or the end of the log. */
  #conflictHint(prevIndex: number): number {
    const { store, commitIndex } = this.#core;
    if (prevIndex > store.lastIndex) return store.lastIndex;
    const conflicting = store.term(prevIndex);
    let index = prevIndex - 1;
    while (index > commitIndex && store.term(index) === conflicting) index -= 1;
    return index;
  }

  #reply(to: Identity, accepted: boolean, index: number): void {
    const match = accepted ? index : 0;
    const hint = accepted ? 0 : index;
    this.#core.send(to, { type: 'appendReply', accepted, match, hint, stamp: this.#stamp });
  }

  async #installSnapshot(bytes: Uint8Array): Promise<void> {
    const core = this.#core;
    const frame = required(decodeFrame(bytes, 0), 'complete snapshot frame');
    const body = migrate('snapshot', frame);
    if (body.isErr()) {
      core.onFailure(body.error);
      return;
    }
    const snapshot = decodeSnapshot(body.value);
    const { index, term } = snapshot;
    if (core.store.term(index) === term && core.syncedIndex >= index) core.commitTo(index);
    else {
      core.installing = true;
      await core.store.install(snapshot);
      core.installing = false;
      assert(index > core.commitIndex, 'no entry may be committed while a snapshot is installed');
      core.membership.reset(index, snapshot.membership);
      this.onRestore(snapshot);
      core.commitTo(index);
      core.updateVotingRole();
      core.settings.journal.record(consensusEvents.snapshotInstalled, { index });
    }
    this.#verified.index = Math.max(this.#verified.index, index);
    this.acknowledge(true);
  }
}
