import type { Incarnation } from './ids';
import type { Member } from './Membership';

/**
 * Whether a replica that stops should wait until another one has its vote: it is a voter, and a member without a
 * vote is connected.
 * @public
 */
export function canHandVoteOver(
  members: readonly Member[],
  own: Incarnation,
  isConnected: (address: string) => boolean,
): boolean {
  const isVoter = members.some(({ incarnation, kind }) => incarnation === own && kind === 'voter');
  return isVoter && members.some(({ kind, address }) => kind !== 'voter' && isConnected(address));
}
