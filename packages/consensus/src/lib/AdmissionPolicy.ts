import type { ReplicaName } from './ids';
import type { MemberKind, Membership } from './Membership';

/**
 * Decides whether a replica that the membership doesn't name may join. Called on the leader.
 * @public
 */
export abstract class AdmissionPolicy {
  /** Returns the kind in which the replica joins, or undefined to reject it. */
  abstract admit(
    replica: ReplicaName,
    membership: Membership,
  ): Exclude<MemberKind, 'voter'> | undefined;

  /** Whether a joining member may become a voter now; one that is about to stop may not. */
  mayVote(_replica: ReplicaName): boolean {
    return true;
  }
}

/** Rejects every replica that the membership doesn't name. @public */
export class ClosedAdmission extends AdmissionPolicy {
  override admit(): undefined {
    return undefined;
  }
}
