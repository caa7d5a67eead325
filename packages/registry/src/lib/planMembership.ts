import type { MemberKind, ReplicaName } from '@berylwood/consensus';

/** State of a member as observed by the leader. @public */
export interface MemberHealth {
  readonly replica: ReplicaName;
  readonly kind: MemberKind;
  /** Time since its last reply, or since the leader started to wait for one, in milliseconds. */
  readonly silenceMs: number;
}

/** One change of the membership. @public */
export interface MembershipStep {
  readonly replica: ReplicaName;
  readonly change: 'promote' | 'demote' | 'remove';
}

/** Limits of the plan, in milliseconds. @internal */
export interface MembershipLimits {
  /** Silence after which a voter is replaced by a learner. */
  readonly replaceAfterMs: number;
  /** Silence after which a learner is removed. */
  readonly removeAfterMs: number;
}

/**
 * Returns the next change that brings the number of voters to the target and moves votes from
 * silent members to responsive ones. A silent voter keeps its vote while no learner can replace it,
 * as it may return and fewer voters tolerate fewer losses. A member that falls silent before it has
 * its vote becomes a learner again, so that another one can be promoted.
 * @public
 */
export function planMembership(
  members: readonly MemberHealth[],
  target: number,
  limits: MembershipLimits,
): MembershipStep | undefined {
  const isSilent = ({ silenceMs }: MemberHealth, limitMs: number): boolean => silenceMs > limitMs;
  const joining = members.find(({ kind }) => kind === 'joining');
  if (joining) {
    const { replica } = joining;
    return isSilent(joining, limits.replaceAfterMs) ? { replica, change: 'demote' } : undefined;
  }
  const voters = members.filter(({ kind }) => kind === 'voter');
  const learners = members.filter(({ kind }) => kind === 'learner');
  const silent = voters.find((member) => isSilent(member, limits.replaceAfterMs));
  if (silent && voters.length > target) return { replica: silent.replica, change: 'demote' };
  const [candidate] = learners.filter((member) => !isSilent(member, limits.replaceAfterMs));
  if (candidate && (voters.length < target || silent)) {
    return { replica: candidate.replica, change: 'promote' };
  }
  const surplus = voters.length > target ? voters[voters.length - 1] : undefined;
  if (surplus) return { replica: surplus.replica, change: 'demote' };
  const expired = learners.find((member) => isSilent(member, limits.removeAfterMs));
  return expired && { replica: expired.replica, change: 'remove' };
}
