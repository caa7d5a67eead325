import type { Entry } from './Entry';
import type { GroupId, Identity, Incarnation, ReplicaName } from './ids';

/**
 * Both clocks of a leader, in milliseconds, read just before it sends a message. The reply echoes
 * the stamp, so that the lease is counted from before the message was sent. Only the leader that
 * made a stamp can interpret it.
 * @public
 */
export interface LeaseStamp {
  readonly mono: number;
  readonly wall: number;
}

/** Asks whether the receiver would grant a vote, without starting a term. @public */
export interface PreVote {
  readonly type: 'preVote';
  /** Term that the sender would start with an election. */
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

/** Requests a vote in the term of the message. @public */
export interface Vote {
  readonly type: 'vote';
  readonly lastIndex: number;
  readonly lastTerm: number;
  /** Term whose leader abandoned its lease to transfer leadership to the sender; 0 if none did. */
  readonly transferOf: number;
}

/** @public */
export interface VoteReply {
  readonly type: 'voteReply';
  readonly granted: boolean;
  /** Longest remaining time, in milliseconds, of a lease granted before the voter's restart. */
  readonly leaseRemainingMs: number;
}

/** Time since the latest contact of a leader with a member, in milliseconds. @public */
export interface MemberSilence {
  readonly incarnation: Incarnation;
  readonly silenceMs: number;
}

/** Entries after `prevIndex`; a heartbeat has none. @public */
export interface Append {
  readonly type: 'append';
  readonly prevIndex: number;
  readonly prevTerm: number;
  readonly entries: readonly Entry[];
  readonly commitIndex: number;
  readonly stamp: LeaseStamp;
  /** In heartbeats, the silence of the members that have replied; missing from earlier versions. */
  readonly silences?: readonly MemberSilence[];
}

/**
 * Reply to an append or to the last chunk of a snapshot. A follower also sends it when more entries
 * are synced, and to reject the leader of an older term.
 * @public
 */
export interface AppendReply {
  readonly type: 'appendReply';
  readonly accepted: boolean;
  /** If accepted, the index up to which the log is synced and matches the leader's. */
  readonly match: number;
  /** If rejected, an index at which the logs may match. */
  readonly hint: number;
  readonly stamp: LeaseStamp;
}

/** A chunk of an encoded snapshot. @public */
export interface SnapshotChunk {
  readonly type: 'snapshotChunk';
  readonly index: number;
  readonly indexTerm: number;
  readonly offset: number;
  /** Size of the complete snapshot in bytes. */
  readonly totalBytes: number;
  readonly data: Uint8Array;
  readonly stamp: LeaseStamp;
}

/**
 * Requests the next chunk of a snapshot. With index 0 it replies to a heartbeat while the follower
 * installs a snapshot, and only echoes the stamp.
 * @public
 */
export interface SnapshotReply {
  readonly type: 'snapshotReply';
  readonly index: number;
  readonly nextOffset: number;
  readonly stamp: LeaseStamp;
}

/** Asks the receiver to start an election at once; the leader has abandoned its lease. @public */
export interface TimeoutNow {
  readonly type: 'timeoutNow';
}

/** Request of a replica with an empty disk to join a group. @public */
export interface Join {
  readonly type: 'join';
  readonly address: string;
}

/** A replica to contact, with its address as in the membership. @public */
export interface Contact {
  readonly replica: ReplicaName;
  readonly address: string;
}

/** Reports to a joining replica whether the sender belongs to a group, and to which one. @public */
export interface JoinReply {
  readonly type: 'joinReply';
  readonly hasGroup: boolean;
  /** The members of the group as known to the sender; empty without a group. */
  readonly members: readonly Contact[];
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
 * A message between replicas: a plain object with `Uint8Array` for bytes, so that MessagePack can
 * encode it.
 * @public
 */
export interface Message<Body extends MessageBody = MessageBody> {
  /** Group of the sender; empty before it belongs to one. */
  readonly group: GroupId | '';
  readonly from: Identity;
  /** The receiver; the incarnation is empty if the sender does not know it, as in `join`. */
  readonly to: {
    readonly replica: Identity['replica'];
    readonly incarnation: Identity['incarnation'] | '';
  };
  readonly term: number;
  readonly body: Body;
}
