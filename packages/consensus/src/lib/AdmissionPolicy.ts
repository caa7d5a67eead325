import type { ReplicaName } from './ids';
import type { MemberKind, Membership } from './Membership';

/**
 * Decides whether a replica that the membership doesn't name may join. The leader asks it.
 * @public
 */
export abstract class AdmissionPolicy {
  /** Kind in which the replica joins, or undefined to refuse it. */
  abstract admit(
    replica: ReplicaName,
    membership: Membership,
  ): Exclude<MemberKind, 'voter'> | undefined;
}

/** Admits nobody but the replicas that an operator has named. @public */
export class ClosedAdmission extends AdmissionPolicy {
  override admit(): undefined {
    return undefined;
  }
}
