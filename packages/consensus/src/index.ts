/** Embeddable replicated log (Raft) with a leader lease, snapshots and membership changes. */
export { AdmissionPolicy, ClosedAdmission } from './lib/AdmissionPolicy';
export { StateMachine } from './lib/StateMachine';
export { ReplicatedLog, type Applied, type LogStatus } from './lib/ReplicatedLog';
export { LocalLog } from './lib/LocalLog';
export { MembershipKeeper, type MembershipKeeperOptions } from './lib/MembershipKeeper';
export type { MemberHealth, MembershipLimits, MembershipStep } from './lib/planMembership';
export { groupTimes, type GroupTimes } from './lib/groupTimes';
export { mustAwaitHandOver } from './lib/mustAwaitHandOver';
export { Replica } from './lib/Replica';
export type { ReplicaStatus } from './lib/ReplicaStatus';
export type { ReplicaOptions } from './lib/ReplicaOptions';
export { Transport } from './lib/Transport';
export { Disk } from './lib/Disk';
export { FileDisk } from './lib/FileDisk';
export { decodeFrame, encodeFrame, type Frame } from './lib/frame';
export { EntryKind, type Entry } from './lib/Entry';
export type { Admission, Member, MemberKind, Membership } from './lib/Membership';
export type {
  Append,
  AppendReply,
  Contact,
  Join,
  JoinReply,
  LeaseStamp,
  Message,
  MessageBody,
  PreVote,
  PreVoteReply,
  SnapshotChunk,
  SnapshotReply,
  TimeoutNow,
  Vote,
  VoteReply,
} from './lib/Message';
export {
  createReplicaName,
  type GroupId,
  type Identity,
  type Incarnation,
  type ReplicaName,
} from './lib/ids';
export { restoreGroup, type GroupBackup } from './lib/restoreGroup';
export { isMessage } from './lib/isMessage';
export { consensusCodes } from './lib/codes';
export { consensusEvents } from './lib/events';
