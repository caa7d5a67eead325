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
}

/** Rejects every replica that the membership doesn't name. @public */
export class ClosedAdmission extends AdmissionPolicy {
  override admit(): undefined {
    return undefined;
  }
}
