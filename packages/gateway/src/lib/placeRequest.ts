import { chooseEngine, chooseEndpoint, type PromptCost } from '@berylwood/policy';
import type { Endpoint } from './Endpoint';
import type { GatewayContext } from './GatewayContext';
import type { ResolvedRequest } from './resolveRequest';
import type { StreamBinding } from './StreamBinding';
import type { RequestMetadata } from './Wire';

/** An endpoint chosen for a request, with its expected prefill work. @internal */
export interface Placement {
  readonly endpoint: Endpoint;
  /** Prompt tokens that the endpoint is expected to prefill; 0 for plain services. */
  readonly tokens: number;
  /** Time until the prefill is finished by the data sheet, in milliseconds; 0 for plain services. */
  readonly prefillMs: number;
  /** The same as expected from what is learnt about the engine. */
  readonly expectedMs: number;
  /** Prompt tokens to be prefilled until then, those queued before the request and its own; 0 for plain services. */
  readonly queuedTokens: number;
}

/** Which endpoints a request may go to. @internal */
export interface EndpointChoice {
  /** Ids of endpoints that the request does not go to again. */
  readonly tried: ReadonlySet<string>;
  readonly binding: Pick<StreamBinding, 'allows'>;
}

/** Assumes that only the last part of a prompt is specific to the request, and the one before it shared. */
function promptCostOf({ prompt, promptTokens, ...metadata }: RequestMetadata): PromptCost {
  const shared = prompt.at(-2);
  const listed = prompt.reduce((sum, { tokens }) => sum + tokens, 0);
  const own = prompt.at(-1)?.tokens ?? 0;
  const ownTokens = own + Math.max(0, promptTokens - listed);
  const answerTokens = Math.min(metadata.answerTokens, metadata.expectedTokens ?? Infinity);
  return { sharedPart: shared?.id, sharedTokens: shared?.tokens ?? 0, ownTokens, answerTokens };
}

/** Leaves out endpoints beyond their pace after a start, unless there are no others. */
function selectPaced(endpoints: readonly Endpoint[]): readonly Endpoint[] {
  const paced = endpoints.filter(({ pace }) => pace.allowsRequest);
  if (paced.length === endpoints.length) return endpoints;
  for (const { pace } of endpoints) if (!pace.allowsRequest) pace.passedOver();
  return paced.length > 0 ? paced : endpoints;
}

/**
 * Chooses an endpoint for a request among the usable ones. If all of them are ejected, any endpoint
 * that is in service is tried, since rejecting all requests would be worse; but none beyond its limit.
 * @internal
 */
export function placeRequest(
  context: GatewayContext,
  resolved: ResolvedRequest,
  { tried, binding }: EndpointChoice,
): Placement | undefined {
  const { directory, random, dataCentre } = context;
  const { route, metadata, target, table, rank } = resolved;
  const endpoints = directory.endpointsOf(target);
  if (endpoints.some(({ statements }) => statements.isLimited)) context.held.recordDemand(resolved);
  const untried = endpoints.filter(
    (endpoint) =>
      !tried.has(endpoint.listed.id) && binding.allows(endpoint) && endpoint.acceptsRequest,
  );
  const usable = untried.filter(({ isUsable }) => isUsable);
  const staying = (): Endpoint[] => untried.filter(({ isInService }) => isInService);
  const candidates = selectPaced(usable.length > 0 ? usable : staying());
  const engine = table.findPool(target)?.engine;
  if (!route.hasAffinity || !engine) {
    const places = candidates.map((endpoint) => endpoint.view(dataCentre));
    const place = chooseEndpoint(places, random.next());
    return (
      place && { endpoint: place.endpoint, tokens: 0, prefillMs: 0, expectedMs: 0, queuedTokens: 0 }
    );
  }
  const viewOptions = { dataCentre, instances: directory.instances(), rank, slots: engine.slots };
  const prompt = promptCostOf(metadata);
  const places = context.streamEngines
    .candidatesFor(resolved, candidates, prompt)
    .map((endpoint) => ({
      ...endpoint.engineView(viewOptions),
      ...context.engines.figuresOf(endpoint),
    }));
  const options = context.engines.optionsOf(target);
  const choice = chooseEngine(places, prompt, random.next(), options);
  return choice && { ...choice, endpoint: choice.view.endpoint };
}
