import { asId, createId, type Id } from '@berylwood/base';

/** A tenant, named in the list of customers' plans. @public */
export type WorkspaceId = Id<'workspace'>;
/** A model engine or plain service with its sidecar; the id is stable across restarts. @public */
export type EndpointId = Id<'endpoint'>;
/** A machine of the platform. @public */
export type InstanceId = Id<'instance'>;
/** A data centre of the platform. @public */
export type DataCentreId = Id<'dataCentre'>;
/** One incarnation of a process or endpoint; each restart creates a new id. @public */
export type IncarnationId = Id<'incarnation'>;
/** One request of a caller. @public */
export type RequestId = Id<'request'>;
/** One attempt to run a request on one endpoint. @public */
export type AttemptId = Id<'attempt'>;
/** One API key; the id reveals nothing about its secret. @public */
export type KeyId = Id<'key'>;
/** One change by an operator. A change resent under the same id is applied once. @public */
export type ChangeId = Id<'change'>;
/** One order to the platform or to an engine. @public */
export type OrderId = Id<'order'>;
/** One usage window. @public */
export type WindowId = Id<'window'>;
/** A consensus group; messages carry it so that groups can be split by region later. @public */
export type GroupId = Id<'group'>;
/** A voter or learner of a consensus group. @public */
export type ReplicaId = Id<'replica'>;

/** @public */
export const createIncarnationId = (): IncarnationId => createId('inc');
/** @public */
export const createRequestId = (): RequestId => createId('req');
/** @public */
export const createAttemptId = (): AttemptId => createId('att');
/** @public */
export const createKeyId = (): KeyId => createId('key');
/**
 * Creates the id of a change. It carries the feed index that its creator had seen, so that the group
 * can distinguish a resend whose outcome is no longer retained from a new change.
 * @public
 */
export const createChangeId = (seenIndex = 0): ChangeId =>
  createId(`chg-${seenIndex.toString(36)}`);

/** Feed index that the creator of a change had seen; 0 if the id carries none. @public */
export function seenIndexOf(change: ChangeId): number {
  const [, digits] = /^chg-([0-9a-z]{1,10})-[0-9a-f]+$/.exec(change) ?? [];
  return digits === undefined ? 0 : Number.parseInt(digits, 36);
}
/** @public */
export const createOrderId = (): OrderId => createId('ord');

/** Brands a workspace name from the list of customers. @public */
export const asWorkspaceId = (name: string): WorkspaceId => asId(name);
