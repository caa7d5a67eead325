import type { Incarnation, ReplicaName } from './ids';
import type { Member } from './Membership';
import type { MembershipLimits } from './planMembership';

/** What a replica that stops knows of its group. @public */
export interface Departure {
  /** Members of the latest committed membership. */
  readonly members: readonly Member[];
  /** The replica that stops. */
  readonly own: Incarnation;
  /** Number of voters that the group should have. */
  readonly target: number;
  /** Whether the member at an address is connected. */
  readonly isConnected: (address: string) => boolean;
  /** Time since the latest known contact with a member, in milliseconds; undefined if none is known. */
  readonly silenceMs: (incarnation: Incarnation) => number | undefined;
  readonly limits: Pick<MembershipLimits, 'returnTimeoutMs'>;
  /** Whether a member has said that it is about to stop. */
  readonly isLeaving: (replica: ReplicaName) => boolean;
}

/**
 * Whether a replica that stops should wait until another one has its vote. It does while it is a voter and
 * - there are more voters than the target, so that this replica is still to lose its vote;
 * - or a member without a vote is connected, and can take it;
 * - or a member has been lost just now. The group has no vote to spare until that member is back or has a successor,
 *   which may not have joined yet.
 * @public
 */
export function mustAwaitHandOver(departure: Departure): boolean {
  const { members, own, target, isConnected, silenceMs, isLeaving, limits } = departure;
  const voters = members.filter(({ kind }) => kind === 'voter');
  if (!voters.some(({ incarnation }) => incarnation === own)) return false;
  if (voters.length > target) return true;
  const isLost = ({ replica, incarnation }: Member): boolean =>
    !isLeaving(replica) && (silenceMs(incarnation) ?? 0) <= limits.returnTimeoutMs;
  return members
    .filter(({ incarnation }) => incarnation !== own)
    .some((member) => (isConnected(member.address) ? member.kind !== 'voter' : isLost(member)));
}
