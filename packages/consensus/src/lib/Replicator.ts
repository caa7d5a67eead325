import { DisposableStore, assert } from '@berylwood/base';
import type { Core } from './Core';
import type { Entry } from './Entry';
import { encodeFrame } from './frame';
import type { Incarnation } from './ids';
import type { Append, LeaseStamp, MemberSilence, SnapshotReply } from './Message';
import { Progress, type SnapshotTransfer } from './Progress';
import { RECORD_VERSION, encodeSnapshot } from './records';

/** Delay after a commit until it is sent to followers that no append has sent it to. */
const COMMIT_DELAY_MS = 5;

/** Sends the leader's log and snapshots to the other members. @internal */
export class Replicator implements Disposable {
  readonly #core: Core;

  /** Term of the leader; nothing may be sent in another term. */
  readonly #term: number;

  readonly #disposables = new DisposableStore();

  readonly #progress = new Map<Incarnation, Progress>();

  #commitTimer: Disposable | undefined;

  /** The encoded snapshot being sent, shared by all members that need it. */
  #loadedSnapshot: { index: number; term: number; bytes: Uint8Array } | undefined;

  #isLoadingSnapshot = false;

  constructor(core: Core) {
    this.#core = core;
    this.#term = core.term;
    this.#disposables.defer(() => this.#commitTimer?.[Symbol.dispose]());
    this.#updateMembers();
  }

  progress(incarnation: Incarnation): Progress | undefined {
    return this.#progress.get(incarnation);
  }

  /** Sends new entries to all members below their limit of unacknowledged messages. */
  replicate(): void {
    this.#updateMembers();
    for (const progress of this.#progress.values()) this.sendTo(progress);
  }

  /** Sends a heartbeat to each member. */
  heartbeat(): void {
    this.#updateMembers();
    const isSending = [...this.#progress.values()].some(({ mode }) => mode === 'snapshot');
    if (!isSending) this.#loadedSnapshot = undefined;
    const silences = this.#core.contacts.report([...this.#progress.keys()], this.#core.now);
    for (const progress of this.#progress.values()) {
      progress.isProbing = false;
      this.#sendEntries(progress, [], silences);
      this.#resendSnapshot(progress);
    }
  }

  /** Sends missing entries to a member, up to its limit of unacknowledged messages. */
  sendTo(progress: Progress): void {
    const { store, settings } = this.#core;
    while (progress.maySend && progress.next <= store.lastIndex) {
      if (progress.next < store.firstIndex) {
        this.#beginSnapshot(progress);
        return;
      }
      const entries = store.slice(progress.next, settings.batchBytes);
      this.#sendEntries(progress, entries);
      progress.recordSent(progress.next + entries.length - 1);
    }
  }

  /** Sends the commit index after a short delay, so that followers need not await a heartbeat. */
  announceCommit(): void {
    if (this.#commitTimer || this.#disposables.isDisposed) return;
    const sendCommitIndex = (): void => {
      this.#commitTimer = undefined;
      const { commitIndex } = this.#core;
      for (const progress of this.#progress.values()) {
        if (progress.sentCommitIndex < commitIndex) this.#sendEntries(progress, []);
      }
    };
    this.#commitTimer = this.#core.settings.timer.after(COMMIT_DELAY_MS, sendCommitIndex);
  }

  /** Sends the chunk of a snapshot that a member requests. */
  continueSnapshot(progress: Progress, { index, nextOffset }: SnapshotReply): void {
    const { transfer } = progress;
    if (!transfer || transfer.index !== index || nextOffset >= transfer.bytes.byteLength) return;
    // A reply to a chunk that was sent twice requests a chunk that is already in flight.
    if (nextOffset === transfer.offset && transfer.sentAt === this.#core.now) return;
    transfer.offset = nextOffset;
    this.#sendChunk(progress, transfer);
  }

  [Symbol.dispose](): void {
    this.#disposables[Symbol.dispose]();
  }

  /** Updates the set of members: adds new ones and drops removed ones. */
  #updateMembers(): void {
    const { peers, store, settings, now } = this.#core;
    const current = new Set(peers.map(({ incarnation }) => incarnation));
    for (const incarnation of this.#progress.keys()) {
      if (!current.has(incarnation)) this.#progress.delete(incarnation);
    }
    for (const peer of peers) {
      if (this.#progress.has(peer.incarnation)) continue;
      const progress = new Progress(peer, store.lastIndex + 1, settings.maxInflight, now);
      this.#progress.set(peer.incarnation, progress);
    }
  }

  get #stamp(): LeaseStamp {
    const { timer } = this.#core.settings;
    return { mono: timer.now(), wall: timer.wall() };
  }

  #sendEntries(
    progress: Progress,
    entries: readonly Entry[],
    silences?: readonly MemberSilence[],
  ): void {
    assert(this.#core.term === this.#term, 'a leader must send only in its own term');
    const { store, commitIndex } = this.#core;
    // A member that waits for a snapshot rejects the append, but the heartbeat renews the lease.
    const prevIndex = Math.max(progress.next - 1, store.firstIndex - 1);
    const prevTerm = store.term(prevIndex) ?? 0;
    const stamp = this.#stamp;
    const body: Append = { type: 'append', prevIndex, prevTerm, entries, commitIndex, stamp };
    progress.sentCommitIndex = commitIndex;
    this.#core.send(progress.identity, silences ? { ...body, silences } : body);
  }

  #beginSnapshot(progress: Progress): void {
    progress.beginSnapshot();
    const { snapshotIndex } = this.#core.store;
    if (this.#loadedSnapshot?.index === snapshotIndex) this.#startTransfer(progress);
    else if (!this.#isLoadingSnapshot) {
      this.#isLoadingSnapshot = true;
      this.#loadSnapshot().catch((error: unknown) => this.#core.handleDiskError(error));
    }
  }

  async #loadSnapshot(): Promise<void> {
    const snapshot = await this.#core.store.loadSnapshot();
    this.#isLoadingSnapshot = false;
    if (!snapshot || this.#disposables.isDisposed) return;
    const { index, term } = snapshot;
    this.#loadedSnapshot = {
      index,
      term,
      bytes: encodeFrame(RECORD_VERSION, encodeSnapshot(snapshot)),
    };
    for (const progress of this.#progress.values()) {
      if (progress.mode === 'snapshot' && !progress.transfer) this.#startTransfer(progress);
    }
  }

  #startTransfer(progress: Progress): void {
    if (!this.#loadedSnapshot) return;
    progress.transfer = { ...this.#loadedSnapshot, offset: 0, sentAt: 0 };
    this.#sendChunk(progress, progress.transfer);
  }

  #sendChunk(progress: Progress, transfer: SnapshotTransfer): void {
    assert(this.#core.term === this.#term, 'a leader must send only in its own term');
    const { index, term, bytes, offset } = transfer;
    transfer.sentAt = this.#core.now;
    const data = bytes.subarray(offset, offset + this.#core.settings.chunkBytes);
    const totalBytes = bytes.byteLength;
    this.#core.send(progress.identity, {
      type: 'snapshotChunk',
      index,
      indexTerm: term,
      offset,
      totalBytes,
      data,
      stamp: this.#stamp,
    });
  }

  /** Resends a chunk without a reply; aborts the transfer if there is a newer snapshot. */
  #resendSnapshot(progress: Progress): void {
    if (progress.mode !== 'snapshot') return;
    const { now, store, settings } = this.#core;
    const { transfer } = progress;
    if (!transfer) {
      if (!this.#isLoadingSnapshot) this.#beginSnapshot(progress);
      return;
    }
    if (now - transfer.sentAt < settings.electionTimeoutMs) return;
    if (transfer.index < store.snapshotIndex) progress.abortSnapshot();
    else this.#sendChunk(progress, transfer);
  }
}
