import { DisposableStore, assert } from '@berylwood/base';
import type { Core } from './Core';
import type { Entry } from './Entry';
import { encodeFrame } from './frame';
import type { Incarnation } from './ids';
import type { Append, LeaseStamp, SnapshotReply } from './Message';
import { Progress, type Transfer } from './Progress';
import { RECORD_VERSION, encodeSnapshot } from './records';

/** Time after a commit until followers are told, unless entries tell them before. */
const COMMIT_DELAY_MS = 5;

/** Sends a leader's log and snapshots to the other members. @internal */
export class Replicator implements Disposable {
  readonly #core: Core;

  /** Term of the leader; nothing may be sent in another one. */
  readonly #term: number;

  readonly #store = new DisposableStore();

  readonly #progress = new Map<Incarnation, Progress>();

  #commitTimer: Disposable | undefined;

  /** The snapshot being sent, shared by all members that need it. */
  #loaded: { index: number; term: number; bytes: Uint8Array } | undefined;

  #isLoading = false;

  constructor(core: Core) {
    this.#core = core;
    this.#term = core.term;
    this.#store.defer(() => this.#commitTimer?.[Symbol.dispose]());
    this.#syncMembers();
  }

  progress(incarnation: Incarnation): Progress | undefined {
    return this.#progress.get(incarnation);
  }

  /** Sends new entries to all members that have room for them. */
  replicate(): void {
    this.#syncMembers();
    for (const progress of this.#progress.values()) this.sendTo(progress);
  }

  /** Sends a heartbeat to each member. */
  heartbeat(): void {
    this.#syncMembers();
    const isSending = [...this.#progress.values()].some(({ mode }) => mode === 'snapshot');
    if (!isSending) this.#loaded = undefined;
    for (const progress of this.#progress.values()) {
      progress.isProbing = false;
      this.#sendEntries(progress, []);
      this.#resendSnapshot(progress);
    }
  }

  /** Sends the entries that a member lacks, as far as its bound allows. */
  sendTo(progress: Progress): void {
    const { store, settings } = this.#core;
    while (progress.maySend && progress.next <= store.lastIndex) {
      if (progress.next < store.firstIndex) {
        this.#beginSnapshot(progress);
        return;
      }
      const entries = store.slice(progress.next, settings.batchBytes);
      this.#sendEntries(progress, entries);
      progress.sent(progress.next + entries.length - 1);
    }
  }

  /** Tells followers of a commit soon, so that they apply it without waiting for a heartbeat. */
  announceCommit(): void {
    if (this.#commitTimer || this.#store.isDisposed) return;
    const tell = (): void => {
      this.#commitTimer = undefined;
      const { commitIndex } = this.#core;
      for (const progress of this.#progress.values()) {
        if (progress.sentCommit < commitIndex) this.#sendEntries(progress, []);
      }
    };
    this.#commitTimer = this.#core.settings.timer.after(COMMIT_DELAY_MS, tell);
  }

  /** Sends the next part of a snapshot. */
  continueSnapshot(progress: Progress, { index, nextOffset }: SnapshotReply): void {
    const { transfer } = progress;
    if (!transfer || transfer.index !== index || nextOffset >= transfer.bytes.byteLength) return;
    // An answer to a part that was sent twice asks for what is on its way already.
    if (nextOffset === transfer.offset && transfer.sentAt === this.#core.now) return;
    transfer.offset = nextOffset;
    this.#sendChunk(progress, transfer);
  }

  [Symbol.dispose](): void {
    this.#store[Symbol.dispose]();
  }

  /** Follows the membership: starts with new members and forgets old ones. */
  #syncMembers(): void {
    const { peers, store, settings } = this.#core;
    const present = new Set(peers.map(({ incarnation }) => incarnation));
    for (const incarnation of this.#progress.keys()) {
      if (!present.has(incarnation)) this.#progress.delete(incarnation);
    }
    for (const peer of peers) {
      if (this.#progress.has(peer.incarnation)) continue;
      const progress = new Progress(peer, store.lastIndex + 1, settings.maxInflight);
      this.#progress.set(peer.incarnation, progress);
    }
  }

  get #stamp(): LeaseStamp {
    const { timer } = this.#core.settings;
    return { mono: timer.now(), wall: timer.wall() };
  }

  #sendEntries(progress: Progress, entries: readonly Entry[]): void {
    assert(this.#core.term === this.#term, 'a leader sends in its own term only');
    const { store, commitIndex } = this.#core;
    // A member that waits for a snapshot gets heartbeats that it refuses; they carry the lease.
    const prevIndex = Math.max(progress.next - 1, store.firstIndex - 1);
    const prevTerm = store.term(prevIndex) ?? 0;
    const stamp = this.#stamp;
    const body: Append = { type: 'append', prevIndex, prevTerm, entries, commitIndex, stamp };
    progress.sentCommit = commitIndex;
    this.#core.send(progress.identity, body);
  }

  #beginSnapshot(progress: Progress): void {
    progress.beginSnapshot();
    const { snapshotIndex } = this.#core.store;
    if (this.#loaded?.index === snapshotIndex) this.#startTransfer(progress);
    else if (!this.#isLoading) {
      this.#isLoading = true;
      this.#load().catch((error: unknown) => this.#core.failDisk(error));
    }
  }

  async #load(): Promise<void> {
    const snapshot = await this.#core.store.loadSnapshot();
    this.#isLoading = false;
    if (!snapshot || this.#store.isDisposed) return;
    const { index, term } = snapshot;
    this.#loaded = { index, term, bytes: encodeFrame(RECORD_VERSION, encodeSnapshot(snapshot)) };
    for (const progress of this.#progress.values()) {
      if (progress.mode === 'snapshot' && !progress.transfer) this.#startTransfer(progress);
    }
  }

  #startTransfer(progress: Progress): void {
    if (!this.#loaded) return;
    progress.transfer = { ...this.#loaded, offset: 0, sentAt: 0 };
    this.#sendChunk(progress, progress.transfer);
  }

  #sendChunk(progress: Progress, transfer: Transfer): void {
    assert(this.#core.term === this.#term, 'a leader sends in its own term only');
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

  /** Sends a part again that has not been answered; a newer snapshot starts over. */
  #resendSnapshot(progress: Progress): void {
    if (progress.mode !== 'snapshot') return;
    const { now, store, settings } = this.#core;
    const { transfer } = progress;
    if (!transfer) {
      if (!this.#isLoading) this.#beginSnapshot(progress);
      return;
    }
    if (now - transfer.sentAt < settings.electionTimeoutMs) return;
    if (transfer.index < store.snapshotIndex) progress.endSnapshot();
    else this.#sendChunk(progress, transfer);
  }
}
