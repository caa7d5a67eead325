import type { Identity, Incarnation, ReplicaName } from './ids';

/**
 * Role of a member in decisions. Voters count for a quorum. Joining members are learners that are
 * promoted to voters once they have synced all committed entries. Learners never vote.
 * @public
 */
export type MemberKind = 'voter' | 'joining' | 'learner';

/** A replica that receives the group's log. @public */
export interface Member extends Identity {
  readonly kind: MemberKind;
  /** Address of the replica for the embedder's transport; opaque to the log. */
  readonly address: string;
}

/** A replica that may join under its name, with an incarnation that is not known yet. @public */
export interface Admission {
  readonly replica: ReplicaName;
  readonly voter: boolean;
}

/** The members of a group, as committed in the log. @public */
export interface Membership {
  readonly members: readonly Member[];
  readonly admitted: readonly Admission[];
  /**
   * Voters before one incarnation replaced another; present while the configuration is joint.
   * Meanwhile each decision also needs a quorum of these voters, because a quorum of the old set
   * and one of the new set need not have a common voter.
   */
  readonly outgoing?: readonly Incarnation[];
}

/** Membership of a replica that belongs to no group. @internal */
export const EMPTY_MEMBERSHIP: Membership = { members: [], admitted: [] };

const FORMAT = 1;

/** Encodes a membership for an entry or a snapshot. @internal */
export function encodeMembership(membership: Membership): Uint8Array {
  return Buffer.from(JSON.stringify({ format: FORMAT, ...membership }));
}

/** @internal */
export function decodeMembership(data: Uint8Array): Membership {
  const { members, admitted, outgoing } = JSON.parse(Buffer.from(data).toString()) as Membership;
  return outgoing ? { members, admitted, outgoing } : { members, admitted };
}

/** Incarnations of the voters. @internal */
export function voters(membership: Membership): Incarnation[] {
  return membership.members.filter(({ kind }) => kind === 'voter').map((item) => item.incarnation);
}

/** Voter sets; a decision needs a quorum of each. @internal */
export function voterSets(membership: Membership): (readonly Incarnation[])[] {
  const { outgoing } = membership;
  return outgoing ? [voters(membership), outgoing] : [voters(membership)];
}

/** Number of voters that form a quorum out of `count`. @internal */
export function majority(count: number): number {
  return Math.floor(count / 2) + 1;
}

/**
 * Greatest value that a quorum of every voter set has reached: the commit index from the synced
 * indexes, or the start of the lease from the echoed stamps. -Infinity if a set has no voters.
 * @internal
 */
export function quorumValue(
  sets: readonly (readonly Incarnation[])[],
  valueOf: (incarnation: Incarnation) => number,
): number {
  const values = sets.map((set) => {
    const sorted = set.map(valueOf).sort((a, b) => b - a);
    return sorted[majority(set.length) - 1] ?? -Infinity;
  });
  return Math.min(...values);
}

/** Adds a joining replica, in place of an earlier incarnation that is not a voter. @internal */
export function withJoiner(
  membership: Membership,
  joiner: Identity,
  address: string,
  voter: boolean,
): Membership {
  const kept = membership.members.filter(
    (item) => item.replica !== joiner.replica || item.kind === 'voter',
  );
  const kind = voter ? 'joining' : 'learner';
  const { replica, incarnation } = joiner;
  return {
    members: [...kept, { replica, incarnation, kind, address }],
    admitted: membership.admitted.filter((item) => item.replica !== replica),
  };
}

/** Makes a joining member a voter and removes the earlier incarnations of its replica. @internal */
export function withPromoted(membership: Membership, incarnation: Incarnation): Membership {
  const joiner = membership.members.find((item) => item.incarnation === incarnation);
  if (!joiner) return membership;
  const others = membership.members.filter((item) => item.replica !== joiner.replica);
  const members: Member[] = [...others, { ...joiner, kind: 'voter' }];
  const previousVoters = voters(membership);
  const isReplacement = previousVoters.some((item) =>
    others.every((other) => other.incarnation !== item),
  );
  const { admitted } = membership;
  return isReplacement ? { members, admitted, outgoing: previousVoters } : { members, admitted };
}

/** Changes the kind of one member. @internal */
export function withKind(
  membership: Membership,
  incarnation: Incarnation,
  kind: MemberKind,
): Membership {
  const members = membership.members.map((member) =>
    member.incarnation === incarnation ? { ...member, kind } : member,
  );
  return { ...membership, members };
}

/** Ends the joint configuration of a committed replacement. @internal */
export function withoutOutgoing({ members, admitted }: Membership): Membership {
  return { members, admitted };
}

/**
 * The membership as reported to embedders. A replacement counts as joining until its joint
 * configuration ends: until then, losing another voter may leave the group without a quorum.
 * @internal
 */
export function reportedMembership(membership: Membership): Membership {
  const { members, admitted, outgoing } = membership;
  if (!outgoing) return membership;
  const reported = members.map((member): Member => {
    const isNew = member.kind === 'voter' && !outgoing.includes(member.incarnation);
    return isNew ? { ...member, kind: 'joining' } : member;
  });
  return { members: reported, admitted, outgoing };
}

/** Allows a replica to join. @internal */
export function withAdmission(membership: Membership, admission: Admission): Membership {
  const others = membership.admitted.filter((item) => item.replica !== admission.replica);
  return { ...membership, admitted: [...others, admission] };
}

/** Removes one member; other incarnations of its replica stay. @internal */
export function withoutMember(membership: Membership, incarnation: Incarnation): Membership {
  const members = membership.members.filter((member) => member.incarnation !== incarnation);
  return { ...membership, members };
}

/** Removes all incarnations of a replica, and its permission to join. @internal */
export function withoutReplica(membership: Membership, replica: ReplicaName): Membership {
  return {
    members: membership.members.filter((item) => item.replica !== replica),
    admitted: membership.admitted.filter((item) => item.replica !== replica),
  };
}
