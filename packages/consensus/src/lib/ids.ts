import { asId, createId, type Id } from '@berylwood/base';

/** Name of a replica, given by its settings; stays the same over changes of its disk. @public */
export type ReplicaName = Id<'replica'>;

/** One life of a replica's disk; created together with the disk. @public */
export type Incarnation = Id<'incarnation'>;

/** One group of replicas that share a log. @public */
export type GroupId = Id<'group'>;

/** Brands a name taken from settings. @public */
export function createReplicaName(name: string): ReplicaName {
  return asId<'replica'>(name);
}

/** A fresh incarnation, for an empty disk. @internal */
export function createIncarnation(): Incarnation {
  return createId<'incarnation'>('incarnation');
}

/** The id of a new group. @internal */
export function createGroupId(): GroupId {
  return createId<'group'>('group');
}

/** A replica together with the life of its disk: what votes, acknowledges and leads. @public */
export interface Identity {
  readonly replica: ReplicaName;
  readonly incarnation: Incarnation;
}
