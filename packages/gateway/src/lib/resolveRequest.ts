import type { IncomingMessage } from 'node:http';
import { fail, type Failure } from '@berylwood/base';
import { ok, type Result } from 'neverthrow';
import { gatewayCodes } from './codes';
import type { GatewayContext } from './GatewayContext';
import type { PoolName } from './ids';
import type { Route, Workspace } from './RoutingConfiguration';
import { chooseTarget, type RoutingTable } from './RoutingTable';
import type { RequestFacts } from './Wire';

/** A request together with what the configuration says of it. @internal */
export interface ResolvedRequest {
  readonly facts: RequestFacts;
  readonly table: RoutingTable;
  readonly route: Route;
  readonly workspace: Workspace | undefined;
  /** Level of urgency among all requests, by workspace and route; 0 is the most urgent. */
  readonly rank: number;
  /** Pool that the route's weights have drawn for it. */
  readonly target: PoolName;
}

/** Finds route, workspace and pool of a request, or says why it is not allowed. @internal */
export function resolveRequest(
  context: GatewayContext,
  request: IncomingMessage,
): Result<ResolvedRequest, Failure> {
  if (context.isRefusing()) return fail(gatewayCodes.stopping, 'the instance is stopping');
  const table = context.table();
  if (!table) return fail(gatewayCodes.unconfigured, 'no configuration is in force');
  const facts = context.wire.readRequest(request.rawHeaders);
  const path = (request.url ?? '/').split('?', 1)[0] ?? '/';
  const route = table.findRoute(facts.host, path);
  if (!route) return fail(gatewayCodes.noRoute, 'no route matches');
  const workspace = facts.key === undefined ? undefined : table.findWorkspace(facts.key);
  if (table.needsKeys && !route.isAnonymous && !workspace) {
    return fail(gatewayCodes.keyUnknown, 'the key is missing or unknown');
  }
  const target = chooseTarget(route.targets, context.random.next());
  if (!target) return fail(gatewayCodes.noEndpoint, 'the route has no pool');
  const rank = table.urgencyOf(route, workspace);
  return ok({ facts, table, route, workspace, rank, target: target.pool });
}
