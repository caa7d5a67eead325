import { admits } from '@berylwood/policy';
import { admissionPrefillMs } from './admissionPrefillMs';
import type { Placement } from './placeRequest';
import type { ResolvedRequest } from './resolveRequest';

/**
 * Whether a request that has not been sent to any endpoint should be rejected, given where it would
 * be sent and its remaining time, in milliseconds. Only the least urgent route of a pool is,
 * since the queue of one engine tells little about the capacity of the others.
 * @internal
 */
export function startsTooLate(
  { route, metadata, table, target }: ResolvedRequest,
  placement: Placement,
  leftMs: number,
): boolean {
  if (!table.isLeastUrgent(route, target)) return false;
  const { objectiveMs, timeoutMs } = route;
  const prefillMs = admissionPrefillMs(placement);
  return !admits({ prefillMs, objectiveMs, timeoutMs, leftMs, budgetMs: metadata.deadlineMs });
}
