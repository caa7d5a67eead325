import type { IncomingMessage } from 'node:http';
import { fail, type Failure } from '@berylwood/base';
import { ok, type Result } from 'neverthrow';
import { gatewayCodes } from './codes';
import { findRequestProblem } from './findRequestProblem';
import type { GatewayContext } from './GatewayContext';
import type { PoolName } from './ids';
import type { Route, Workspace } from './RoutingConfiguration';
import { chooseTarget, type RoutingTable } from './RoutingTable';
import type { RequestMetadata } from './Wire';

/** A request with the route, workspace, rank and pool that the configuration assigns to it. @internal */
export interface ResolvedRequest {
  readonly metadata: RequestMetadata;
  readonly table: RoutingTable;
  readonly route: Route;
  readonly workspace: Workspace | undefined;
  /** Urgency level among all requests, by workspace and route; 0 is the most urgent. */
  readonly rank: number;
  /** Pool chosen at random by the weights of the route. */
  readonly target: PoolName;
}

/** Finds the route, workspace and pool of a request, or returns the reason for rejecting it. @internal */
export function resolveRequest(
  context: GatewayContext,
  request: IncomingMessage,
): Result<ResolvedRequest, Failure> {
  const problem = findRequestProblem(request);
  if (problem !== undefined) return fail(gatewayCodes.requestMalformed, problem);
  if (context.isRejecting()) return fail(gatewayCodes.stopping, 'the instance is stopping');
  const table = context.table();
  if (!table) return fail(gatewayCodes.unconfigured, 'no configuration is in force');
  const metadata = context.wire.readRequest(request.rawHeaders);
  const path = (request.url ?? '/').split('?', 1)[0] ?? '/';
  const route = table.findRoute(metadata.host, path);
  if (!route) return fail(gatewayCodes.noRoute, 'no route matches');
  const workspace = metadata.key === undefined ? undefined : table.findWorkspace(metadata.key);
  if (table.requiresKey && !route.isAnonymous && !workspace) {
    return fail(gatewayCodes.keyUnknown, 'the key is missing or unknown');
  }
  const target = chooseTarget(route.targets, context.random.next());
  if (!target) return fail(gatewayCodes.noEndpoint, 'the route has no pool');
  const rank = table.urgencyLevelOf(route, workspace);
  return ok({ metadata, table, route, workspace, rank, target: target.pool });
}
