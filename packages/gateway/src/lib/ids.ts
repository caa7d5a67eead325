import type { Id } from '@berylwood/base';

/** One try of a caller to get an answer; the caller gives it. @public */
export type AttemptId = Id<'attempt'>;

/** A workspace as the routing configuration names it. @public */
export type WorkspaceName = Id<'workspace'>;

/** A group of interchangeable endpoints. @public */
export type PoolName = Id<'pool'>;

/** One incarnation of an endpoint. @public */
export type EndpointId = Id<'endpoint'>;

/** Name of a route. @public */
export type RouteName = Id<'route'>;
