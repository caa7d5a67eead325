import type { Identity } from './ids';
import type { LeaseStamp } from './Message';

interface InflightAppend {
  readonly lastIndex: number;
}

/** How the leader sends to a member: probing for a matching index, streaming, or by snapshot. */
export type ProgressMode = 'probe' | 'stream' | 'snapshot';

/** A snapshot in transfer to a member. @internal */
export interface SnapshotTransfer {
  readonly index: number;
  readonly term: number;
  readonly bytes: Uint8Array;
  offset: number;
  /** Monotonic time at which the latest chunk was sent, in milliseconds. */
  sentAt: number;
}

/**
 * Replication progress of one member, as seen by the leader. Unacknowledged messages are bounded,
 * so that a member that is slow or down takes a fixed amount of memory.
 * @internal
 */
export class Progress {
  readonly identity: Identity;

  mode: ProgressMode = 'probe';

  /** Index up to which the member's log is synced and matches the leader's. */
  match = 0;

  /** Index of the entry to send next. */
  next: number;

  /** Whether a probe was sent that the member has not replied to. */
  isProbing = false;

  transfer: SnapshotTransfer | undefined;

  /** Monotonic time from which on the leader has sent to the member, in milliseconds. */
  readonly startedAt: number;

  /** Latest stamp that the member has echoed. */
  stamp: LeaseStamp = { mono: -Infinity, wall: -Infinity };

  /** Commit index in the latest message sent. */
  sentCommitIndex = 0;

  #inflight: InflightAppend[] = [];

  readonly #maxInflight: number;

  constructor(identity: Identity, next: number, maxInflight: number, startedAt: number) {
    this.identity = identity;
    this.next = next;
    this.startedAt = startedAt;
    this.#maxInflight = maxInflight;
  }

  get maySend(): boolean {
    if (this.mode === 'stream') return this.#inflight.length < this.#maxInflight;
    return this.mode === 'probe' && !this.isProbing;
  }

  /** Records that entries up to an index were sent. */
  recordSent(lastIndex: number): void {
    if (this.mode === 'probe') {
      this.isProbing = true;
      return;
    }
    this.#inflight.push({ lastIndex });
    this.next = lastIndex + 1;
  }

  /** Records that the member's log matches up to an index. */
  recordAccepted(match: number): void {
    this.match = Math.max(this.match, match);
    this.next = Math.max(this.next, this.match + 1);
    this.#inflight = this.#inflight.filter(({ lastIndex }) => lastIndex > this.match);
    this.isProbing = false;
    if (this.mode === 'snapshot' && this.match < (this.transfer?.index ?? 0)) return;
    if (this.mode !== 'stream') this.#switchTo('stream');
  }

  /** Handles a rejected append: probes from an index at which the logs may match. */
  recordRejected(hint: number): void {
    if (this.mode === 'snapshot') return;
    this.#switchTo('probe');
    this.next = Math.max(this.match, Math.min(hint, this.next - 1)) + 1;
  }

  /** Switches to sending a snapshot; its transfer starts once it is loaded. */
  beginSnapshot(): void {
    this.#switchTo('snapshot');
  }

  /** Aborts the transfer of a snapshot. */
  abortSnapshot(): void {
    this.#switchTo('probe');
  }

  /** Records an echoed stamp if it is later than the last one. */
  recordStamp({ mono, wall }: LeaseStamp): void {
    if (mono > this.stamp.mono) this.stamp = { mono, wall };
  }

  #switchTo(mode: ProgressMode): void {
    this.mode = mode;
    this.#inflight = [];
    this.isProbing = false;
    this.transfer = undefined;
    if (mode === 'stream') this.next = this.match + 1;
  }
}
