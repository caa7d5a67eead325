import type { Incarnation } from './ids';
import type { Member } from './Membership';

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
}

/**
 * Whether a replica that stops should wait until another one has its vote: it is a voter, and a member without a
 * vote is connected, or one has its vote already and this replica is still to lose its own.
 * @public
 */
export function canHandVoteOver({ members, own, target, isConnected }: Departure): boolean {
  const voters = members.filter(({ kind }) => kind === 'voter');
  if (!voters.some(({ incarnation }) => incarnation === own)) return false;
  if (voters.length > target) return true;
  return members.some(({ kind, address }) => kind !== 'voter' && isConnected(address));
}
