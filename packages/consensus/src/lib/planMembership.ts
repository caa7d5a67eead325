import type { Incarnation, ReplicaName } from './ids';
import type { MemberKind } from './Membership';

/** State of a member as observed by the leader. @public */
export interface MemberHealth {
  readonly replica: ReplicaName;
  readonly incarnation: Incarnation;
  readonly kind: MemberKind;
  /** Time since its last reply, or for which it is known or presumed to be silent, in milliseconds. */
  readonly silenceMs: number;
  /** Whether it has replied to this leader; without a reply it may be gone for long. */
  readonly hasReplied: boolean;
  /** Whether it has said that it is about to stop. */
  readonly isLeaving: boolean;
  /** Whether it is the leader itself, which keeps its vote until another replica leads. */
  readonly isSelf: boolean;
}

/** One change of the membership. @public */
export interface MembershipStep {
  readonly replica: ReplicaName;
  /** The member to change; earlier incarnations of its replica may be members, too, after the loss of a disk. */
  readonly incarnation: Incarnation;
  readonly change: 'promote' | 'demote' | 'remove';
}

/** Limits of the plan, in milliseconds. @public */
export interface MembershipLimits {
  /** Silence after which a member is given neither a vote nor leadership. */
  readonly suspectAfterMs: number;
  /** Silence after which a voter is replaced by a learner. */
  readonly replaceAfterMs: number;
  /** Silence after which neither the return of a member nor its successor is expected soon. */
  readonly returnTimeoutMs: number;
  /** Silence after which a learner is removed. */
  readonly removeAfterMs: number;
  /** Time within which a member that is there has replied, also to a new leader. */
  readonly confirmAfterMs: number;
  /** Time without a leader that does not count as a member's silence. */
  readonly leaderlessMs: number;
}

/** What a plan is made from. @public */
export interface MembershipView {
  readonly members: readonly MemberHealth[];
  /** Number of voters that the group should have. */
  readonly target: number;
  readonly limits: MembershipLimits;
  /** Time for which this replica has led, in milliseconds. */
  readonly leadershipMs: number;
}

/** Members of a view by what can be done with them. */
interface Candidates {
  readonly voters: readonly MemberHealth[];
  /** Voters to replace. Silent ones come first: unlike one that leaves, they bear no further loss. */
  readonly gone: readonly MemberHealth[];
  /** Learners that may become voters: those that replied just now first, then in the order in which they joined. */
  readonly learners: readonly MemberHealth[];
}

function isGone(
  { silenceMs, isLeaving }: MemberHealth,
  { replaceAfterMs }: MembershipLimits,
): boolean {
  return isLeaving || silenceMs > replaceAfterMs;
}

function classify({ members, limits }: MembershipView): Candidates {
  const isSilent = ({ silenceMs }: MemberHealth): boolean => silenceMs > limits.replaceAfterMs;
  const isLate = ({ silenceMs }: MemberHealth): boolean => silenceMs > limits.confirmAfterMs;
  const voters = members.filter(({ kind }) => kind === 'voter');
  const gone = voters
    .filter((member) => !member.isSelf && isGone(member, limits))
    .sort((a, b) => Number(isSilent(b)) - Number(isSilent(a)) || b.silenceMs - a.silenceMs);
  const learners = members
    .filter(({ kind, hasReplied }) => kind === 'learner' && hasReplied)
    .filter(({ isLeaving, silenceMs }) => !isLeaving && silenceMs <= limits.suspectAfterMs)
    .sort((a, b) => Number(isLate(a)) - Number(isLate(b)));
  return { voters, gone, learners };
}

/**
 * Returns a voter to demote if there are more than the target. If none is gone, the leader waits until it has heard
 * all of them: one of them may be the reason for the vote beyond the target.
 */
function findSurplus(view: MembershipView, { voters, gone }: Candidates): MemberHealth | undefined {
  const { target, limits, leadershipMs } = view;
  if (voters.length <= target) return undefined;
  if (gone.length > 0) return gone[0];
  const isKnown = ({ isSelf, hasReplied, silenceMs, isLeaving }: MemberHealth): boolean =>
    !isLeaving && (isSelf || (hasReplied && silenceMs <= limits.suspectAfterMs));
  const isSettled = leadershipMs > limits.replaceAfterMs && voters.every(isKnown);
  return isSettled ? voters.findLast(({ isSelf }) => !isSelf) : undefined;
}

function stepOf(
  { replica, incarnation }: MemberHealth,
  change: MembershipStep['change'],
): MembershipStep {
  return { replica, incarnation, change };
}

/**
 * Returns the next change that brings the number of voters to the target and moves votes from members that
 * are silent or leaving to others. Such a voter keeps its vote while no learner can replace it, as it may
 * return and fewer voters tolerate fewer losses. A member that falls silent or leaves before it has its vote
 * becomes a learner again, so that another one can be promoted.
 * @internal
 */
export function planMembership(view: MembershipView): MembershipStep | undefined {
  const { members, target, limits } = view;
  const joining = members.find(({ kind }) => kind === 'joining');
  if (joining) {
    return isGone(joining, limits) ? stepOf(joining, 'demote') : undefined;
  }
  const candidates = classify(view);
  const { voters, gone, learners } = candidates;
  const surplus = findSurplus(view, candidates);
  if (surplus) return stepOf(surplus, 'demote');
  const [learner] = learners;
  const isVoteMissing = voters.length < target || (voters.length === target && gone.length > 0);
  if (learner && isVoteMissing) return stepOf(learner, 'promote');
  const expired = members.find(
    ({ kind, silenceMs }) => kind === 'learner' && silenceMs > limits.removeAfterMs,
  );
  return expired && stepOf(expired, 'remove');
}

/** Whether a change may be due soon: a member is on its way to a vote, or a new leader waits for first replies. */
export function isUndecided({ members, limits, leadershipMs }: MembershipView): boolean {
  const isAwaited = ({ kind, isSelf, hasReplied }: MemberHealth): boolean =>
    kind === 'voter' && !isSelf && !hasReplied;
  if (members.some(({ kind }) => kind === 'joining')) return true;
  return leadershipMs <= limits.confirmAfterMs && members.some(isAwaited);
}

/**
 * Whether a leader that is about to stop should lead on for now, as the next change would have to wait for a transfer
 * of leadership: it does not know the other voters yet, the vote of one that does not reply can be moved, or a member
 * has been lost just now whose successor has not joined yet.
 * @internal
 */
export function mustLeadOn(view: MembershipView): boolean {
  const { members, target, limits } = view;
  if (isUndecided(view)) return true;
  const { voters, learners } = classify(view);
  const suspects = members.filter(
    ({ isSelf, silenceMs }) => !isSelf && silenceMs > limits.suspectAfterMs,
  );
  if (learners.length > 0 || voters.length > target) {
    return suspects.some(({ kind }) => kind === 'voter');
  }
  return suspects.some(
    ({ isLeaving, silenceMs }) => !isLeaving && silenceMs <= limits.returnTimeoutMs,
  );
}
