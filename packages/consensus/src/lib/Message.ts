import type { Entry } from './Entry';
import type { GroupId, Identity } from './ids';

/**
 * Both clocks of a leader at the moment before it sent a message; echoed in the answer, so that a
 * lease counts from before the sending. Milliseconds, meaningful to the leader only.
 * @public
 */
export interface LeaseStamp {
  readonly mono: number;
  readonly wall: number;
}

/** Asks whether a vote would be granted, without starting a term. @public */
export interface PreVote {
  readonly type: 'preVote';
  /** Term in which the sender would stand. */
  readonly nextTerm: number;
  readonly lastIndex: number;
  readonly lastTerm: number;
}

/** @public */
export interface PreVoteReply {
  readonly type: 'preVoteReply';
  readonly nextTerm: number;
  readonly granted: boolean;
}

/** Asks for a vote in the term of the message. @public */
export interface Vote {
  readonly type: 'vote';
  readonly lastIndex: number;
  readonly lastTerm: number;
  /** Term whose leader gave up its lease and asked the sender to stand; 0 if none did. */
  readonly transferOf: number;
}

/** @public */
export interface VoteReply {
  readonly type: 'voteReply';
  readonly granted: boolean;
  /** Time for which a lease granted before the voter's restart may still run, in milliseconds. */
  readonly leaseRemainingMs: number;
}

/** Entries after `prevIndex`, or a heartbeat without any. @public */
export interface Append {
  readonly type: 'append';
  readonly prevIndex: number;
  readonly prevTerm: number;
  readonly entries: readonly Entry[];
  readonly commitIndex: number;
  readonly stamp: LeaseStamp;
}

/** Answer to an append or to the last chunk of a snapshot. @public */
export interface AppendReply {
  readonly type: 'appendReply';
  readonly accepted: boolean;
  /** If accepted, the index up to which the log is synced and equal to the leader's. */
  readonly match: number;
  /** If refused, an index at which the logs may agree. */
  readonly hint: number;
  readonly stamp: LeaseStamp;
}

/** A part of a snapshot. @public */
export interface SnapshotChunk {
  readonly type: 'snapshotChunk';
  readonly index: number;
  readonly indexTerm: number;
  readonly offset: number;
  /** Size of the whole snapshot in bytes. */
  readonly totalBytes: number;
  readonly data: Uint8Array;
  readonly stamp: LeaseStamp;
}

/** Asks for the next part of a snapshot. @public */
export interface SnapshotReply {
  readonly type: 'snapshotReply';
  readonly index: number;
  readonly nextOffset: number;
  readonly stamp: LeaseStamp;
}

/** Tells the receiver to stand at once: the leader has given up its lease. @public */
export interface TimeoutNow {
  readonly type: 'timeoutNow';
}

/** A replica with an empty disk asks to be taken in. @public */
export interface Join {
  readonly type: 'join';
  readonly address: string;
}

/** Tells a joining replica whether there is a group already. @public */
export interface JoinReply {
  readonly type: 'joinReply';
  readonly hasGroup: boolean;
}

/** @public */
export type MessageBody =
  | PreVote
  | PreVoteReply
  | Vote
  | VoteReply
  | Append
  | AppendReply
  | SnapshotChunk
  | SnapshotReply
  | TimeoutNow
  | Join
  | JoinReply;

/**
 * A message between replicas: a plain object with `Uint8Array` for bytes, fit for MessagePack.
 * @public
 */
export interface Message<Body extends MessageBody = MessageBody> {
  /** Group of the sender, or empty before it belongs to one. */
  readonly group: GroupId | '';
  readonly from: Identity;
  /** The incarnation that is meant, or empty in messages about joining. */
  readonly to: {
    readonly replica: Identity['replica'];
    readonly incarnation: Identity['incarnation'] | '';
  };
  readonly term: number;
  readonly body: Body;
}
