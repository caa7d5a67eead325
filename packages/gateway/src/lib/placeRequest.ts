import { choosePlace } from '@berylwood/policy';
import type { Endpoint } from './Endpoint';
import type { GatewayContext } from './GatewayContext';
import type { ResolvedRequest } from './resolveRequest';

/**
 * Chooses an endpoint for a request among those that can be used. When all are spared, any that
 * isn't leaving is tried: refusing everything would be worse.
 * @internal
 */
export function placeRequest(
  context: GatewayContext,
  { route, facts, target }: ResolvedRequest,
  tried: ReadonlySet<string>,
): Endpoint | undefined {
  const untried = context.directory
    .of(target)
    .filter((endpoint) => !tried.has(endpoint.listed.id) && endpoint.hasRoom);
  const usable = untried.filter(({ isUsable }) => isUsable);
  const candidates = usable.length > 0 ? usable : untried.filter(({ isStaying }) => isStaying);
  const places = candidates.map((endpoint) => endpoint.view(context.dataCentre));
  // The last part belongs to the request alone, unless it is the only one.
  const shared = route.hasAffinity ? (facts.prompt.at(-2) ?? facts.prompt.at(-1)) : undefined;
  return choosePlace(places, shared?.id, context.random.next())?.endpoint;
}
