import type { EndpointDirectory } from './EndpointDirectory';
import type { EngineModel } from './EngineModel';
import type { AdmissionPool } from './FleetAdmission';
import type { RoutingTable } from './RoutingTable';

/** The state of all pools of engines, as far as admission depends on it. @internal */
export function admissionPools(
  { configuration: { pools, routes } }: RoutingTable,
  directory: Pick<EndpointDirectory, 'endpointsOf'>,
  engines: Pick<EngineModel, 'prefillMsPerToken'>,
): AdmissionPool[] {
  return pools.flatMap(({ name, engine }) => {
    if (!engine) return [];
    const inService = directory.endpointsOf(name).filter(({ isInService }) => isInService);
    const ofPool = routes.filter(({ targets }) => targets.some(({ pool }) => pool === name));
    const maxRank = Math.max(...ofPool.map(({ rank }) => rank));
    const objectives = ofPool
      .filter(({ rank }) => rank === maxRank)
      .map(({ objectiveMs }) => objectiveMs);
    if (objectives.length === 0) return [];
    return [
      {
        name,
        engines: inService.length,
        queuedTokens: inService.reduce((sum, { waitingTokens }) => sum + waitingTokens, 0),
        priorPerS: inService.reduce(
          (sum, endpoint) => sum + 1000 / engines.prefillMsPerToken(endpoint),
          0,
        ),
        objectiveMs: Math.min(...objectives),
      },
    ];
  });
}
