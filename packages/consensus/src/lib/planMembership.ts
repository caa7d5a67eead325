import type { ReplicaName } from './ids';
import type { MemberKind } from './Membership';

/** State of a member as observed by the leader. @public */
export interface MemberHealth {
  readonly replica: ReplicaName;
  readonly kind: MemberKind;
  /** Time since its last reply, or since the leader started to wait for one, in milliseconds. */
  readonly silenceMs: number;
  /** Whether it has replied to this leader; without a reply it may be gone for long. */
  readonly hasReplied: boolean;
  /** Whether it has said that it is about to stop. */
  readonly isLeaving: boolean;
}

/** One change of the membership. @public */
export interface MembershipStep {
  readonly replica: ReplicaName;
  readonly change: 'promote' | 'demote' | 'remove';
}

/** Limits of the plan, in milliseconds. @public */
export interface MembershipLimits {
  /** Silence after which a voter is replaced by a learner. */
  readonly replaceAfterMs: number;
  /** Silence after which a learner is removed. */
  readonly removeAfterMs: number;
}

/**
 * Returns the next change that brings the number of voters to the target and moves votes from members that
 * are silent or leaving to others. Such a voter keeps its vote while no learner can replace it, as it may
 * return and fewer voters tolerate fewer losses. A member that falls silent or leaves before it has its vote
 * becomes a learner again, so that another one can be promoted.
 * @internal
 */
export function planMembership(
  members: readonly MemberHealth[],
  target: number,
  limits: MembershipLimits,
): MembershipStep | undefined {
  const isGone = ({ silenceMs, isLeaving }: MemberHealth): boolean =>
    isLeaving || silenceMs > limits.replaceAfterMs;
  const joining = members.find(({ kind }) => kind === 'joining');
  if (joining) {
    return isGone(joining) ? { replica: joining.replica, change: 'demote' } : undefined;
  }
  const voters = members.filter(({ kind }) => kind === 'voter');
  const learners = members.filter(({ kind }) => kind === 'learner');
  const gone = voters.find(isGone);
  if (gone && voters.length > target) return { replica: gone.replica, change: 'demote' };
  const candidate = learners.find((member) => member.hasReplied && !isGone(member));
  if (candidate && (voters.length < target || gone)) {
    return { replica: candidate.replica, change: 'promote' };
  }
  const surplus = voters.length > target ? voters[voters.length - 1] : undefined;
  if (surplus) return { replica: surplus.replica, change: 'demote' };
  const expired = learners.find(({ silenceMs }) => silenceMs > limits.removeAfterMs);
  return expired && { replica: expired.replica, change: 'remove' };
}
