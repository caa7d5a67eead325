import type { Zone } from '@berylwood/schema';
import type { ScaledEndpoint } from './ScalingTypes';

/**
 * Zone to start an endpoint in: with room, the one with the fewest endpoints, so that the loss of
 * any zone costs little; the cheaper one when they are equal.
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
 * Endpoint to drain: of the dearest zone above its minimum, and there of the least load, provided
 * that what is left is still acceptable.
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
