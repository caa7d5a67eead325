import type { Identity, Incarnation, ReplicaName } from './ids';

/**
 * Part that a member takes: voters decide; joining members are learners that are promoted once
 * they have synced everything committed; learners stay without a vote.
 * @public
 */
export type MemberKind = 'voter' | 'joining' | 'learner';

/** A replica that the group sends its log to. @public */
export interface Member extends Identity {
  readonly kind: MemberKind;
  /** Opaque to the log: where the embedder's transport reaches the replica. */
  readonly address: string;
}

/** A replica that may join by its name; its incarnation is known once it asks. @public */
export interface Admission {
  readonly replica: ReplicaName;
  readonly voter: boolean;
}

/** The members of a group, as committed in the log. @public */
export interface Membership {
  readonly members: readonly Member[];
  readonly admitted: readonly Admission[];
  /**
   * Voters before a replacement of one incarnation by another, until that is settled: meanwhile
   * each decision also needs a quorum of these, as the two sets have quorums without a common voter.
   */
  readonly outgoing?: readonly Incarnation[];
}

/** Membership of a replica that belongs to no group yet. @internal */
export const EMPTY_MEMBERSHIP: Membership = { members: [], admitted: [] };

const FORMAT = 1;

/** Bytes of a membership, for an entry or a snapshot. @internal */
export function encodeMembership(membership: Membership): Uint8Array {
  return Buffer.from(JSON.stringify({ format: FORMAT, ...membership }));
}

/** @internal */
export function decodeMembership(data: Uint8Array): Membership {
  const { members, admitted, outgoing } = JSON.parse(Buffer.from(data).toString()) as Membership;
  return outgoing ? { members, admitted, outgoing } : { members, admitted };
}

/** Incarnations that vote. @internal */
export function voters(membership: Membership): Incarnation[] {
  return membership.members.filter(({ kind }) => kind === 'voter').map((item) => item.incarnation);
}

/** Voter sets of which each must agree. @internal */
export function voterSets(membership: Membership): (readonly Incarnation[])[] {
  const { outgoing } = membership;
  return outgoing ? [voters(membership), outgoing] : [voters(membership)];
}

/** Replicas needed for a decision among this many voters. @internal */
export function majority(count: number): number {
  return Math.floor(count / 2) + 1;
}

/**
 * The greatest value that a quorum of every voter set has reached: the commit index from the
 * synced indexes, or the start of the lease from the acknowledged stamps. -Infinity without voters.
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

/** Adds a replica that asked to join, in place of an unpromoted earlier incarnation. @internal */
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

/** Gives all incarnations of a replica another part. @internal */
export function withKind(
  membership: Membership,
  replica: ReplicaName,
  kind: MemberKind,
): Membership {
  const members = membership.members.map((member) =>
    member.replica === replica ? { ...member, kind } : member,
  );
  return { ...membership, members };
}

/** Ends a replacement that is committed. @internal */
export function withoutOutgoing({ members, admitted }: Membership): Membership {
  return { members, admitted };
}

/**
 * The membership as reported to embedders: a replacement counts as joining until it is settled,
 * since until then the loss of another voter may still leave the group without a quorum.
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

/** Permits a replica to join. @internal */
export function withAdmission(membership: Membership, admission: Admission): Membership {
  const others = membership.admitted.filter((item) => item.replica !== admission.replica);
  return { ...membership, admitted: [...others, admission] };
}

/** Removes a replica in all its incarnations, and its permission to join. @internal */
export function withoutReplica(membership: Membership, replica: ReplicaName): Membership {
  return {
    members: membership.members.filter((item) => item.replica !== replica),
    admitted: membership.admitted.filter((item) => item.replica !== replica),
  };
}
