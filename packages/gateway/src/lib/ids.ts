import type { Id } from '@berylwood/base';

/** Identifies one attempt of a caller at a request; assigned by the caller. @public */
export type AttemptId = Id<'attempt'>;

/** Name of a workspace in the routing configuration. @public */
export type WorkspaceName = Id<'workspace'>;

/** Name of a group of interchangeable endpoints. @public */
export type PoolName = Id<'pool'>;

/** Identifies one incarnation of an endpoint. @public */
export type EndpointId = Id<'endpoint'>;

/** Version of the software of an endpoint; what two versions write does not fit together. @public */
export type SoftwareVersion = Id<'softwareVersion'>;

/** Name of a route. @public */
export type RouteName = Id<'route'>;
