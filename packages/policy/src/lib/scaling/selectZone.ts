import type { Zone } from '@berylwood/schema';
import type { ScaledEndpoint } from './ScalingTypes';

/**
 * Zone in which to start an endpoint: of the zones below their maximum, the one with the fewest
 * endpoints, so that the loss of any zone costs little. Ties are resolved by the lower price.
 * @internal
 */
export function selectZoneToStart(
  zones: readonly Zone[],
  active: readonly ScaledEndpoint[],
): Zone | undefined {
  const counted = zones.map((zone) => ({ zone, count: countIn(zone, active) }));
  const open = counted.filter(({ zone, count }) => count < zone.maximum);
  open.sort((a, b) => a.count - b.count || a.zone.pricePerHour - b.zone.pricePerHour);
  return open[0]?.zone;
}

/**
 * Endpoint to drain: in the most expensive zone above its minimum, the endpoint with the lowest load
 * whose removal leaves an acceptable set of endpoints.
 * @internal
 */
export function selectEndpointToDrain(
  zones: readonly Zone[],
  active: readonly ScaledEndpoint[],
  eligible: readonly ScaledEndpoint[],
  isAcceptable: (remaining: readonly ScaledEndpoint[]) => boolean,
): ScaledEndpoint | undefined {
  const priceOf = ({ dataCentre }: ScaledEndpoint) =>
    zones.find((zone) => zone.dataCentre === dataCentre)?.pricePerHour ?? Infinity;
  const ordered = [...eligible].sort((a, b) => priceOf(b) - priceOf(a) || a.load - b.load);
  return ordered.find((endpoint) => {
    const zone = zones.find(({ dataCentre }) => dataCentre === endpoint.dataCentre);
    if (zone && countIn(zone, active) <= zone.minimum) return false;
    return isAcceptable(active.filter((other) => other !== endpoint));
  });
}

function countIn(zone: Zone, active: readonly ScaledEndpoint[]): number {
  return active.filter(({ dataCentre }) => dataCentre === zone.dataCentre).length;
}
