import { asId, createId, type Id } from '@berylwood/base';

/** Name of a replica, from its settings; unchanged when its disk is replaced. @public */
export type ReplicaName = Id<'replica'>;

/** Identifies one disk of a replica; a replaced or wiped disk gets a new incarnation. @public */
export type Incarnation = Id<'incarnation'>;

/** Identifies a group of replicas that share a log. @public */
export type GroupId = Id<'group'>;

/** Brands a name taken from settings. @public */
export function createReplicaName(name: string): ReplicaName {
  return asId<'replica'>(name);
}

/** Creates an incarnation for an empty disk. @internal */
export function createIncarnation(): Incarnation {
  return createId<'incarnation'>('incarnation');
}

/** Creates the id of a new group. @internal */
export function createGroupId(): GroupId {
  return createId<'group'>('group');
}

/** A replica and its incarnation, the unit that votes, acknowledges and leads. @public */
export interface Identity {
  readonly replica: ReplicaName;
  readonly incarnation: Incarnation;
}
