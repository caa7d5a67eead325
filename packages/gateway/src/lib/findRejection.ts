import { canFinish, isReturning } from '@berylwood/policy';
import type { CountedRequest } from './AdmissionCounts';
import { admissionPrefillMs } from './admissionPrefillMs';
import type { GatewayContext } from './GatewayContext';
import type { Placement } from './placeRequest';
import type { ResolvedRequest } from './resolveRequest';
import { startsTooLate } from './startsTooLate';

/** Why a request is rejected before it is sent. @internal */
export interface Rejection {
  readonly reason: string;
  /** Expected time until the caller would be served, in milliseconds; undefined if not known. */
  readonly retryAfterMs: number | undefined;
}

/** Fraction of a route's timeout before which a caller that returns is not recognized as such. */
const RECOGNITION_SHARE = 0.16;

/** Longest mean time to wait for that, in milliseconds. */
const MAX_RECOGNITION_MS = 1000;

/** Longest name of a workspace in a message. */
const MAX_NAME_LENGTH = 256;

const BEYOND_SHARE = 'beyond the share of its workspace';

const TOO_LATE: Rejection = { reason: 'expected to start too late', retryAfterMs: undefined };

/** What admission counts of a request. @internal */
export function countedRequest(
  { route, workspace, metadata, target }: ResolvedRequest,
  { tokens }: Pick<Placement, 'tokens'>,
): CountedRequest {
  const { timeoutMs, rank } = route;
  return {
    ...{ pool: target, rank, tokens },
    // Callers without a key compete as one workspace.
    workspace: (workspace?.name ?? 'anonymous').slice(0, MAX_NAME_LENGTH),
    isReturning: isReturning({ timeoutMs, budgetMs: metadata.deadlineMs }),
  };
}

/** Whether a request of the least urgent route would not be answered before its deadline. */
function isHopeless(
  { route, table, target }: ResolvedRequest,
  placement: Placement,
  leftMs: number,
): boolean {
  const prefillMs = admissionPrefillMs(placement);
  return table.isLeastUrgent(route, target) && !canFinish({ prefillMs, leftMs });
}

/**
 * Whether a request that has not been sent to any endpoint should be rejected, and why. During a shortage the
 * shares of the workspaces decide in place of the queue of the chosen engine.
 * @internal
 */
export function findRejection(
  { admission }: Pick<GatewayContext, 'admission'>,
  resolved: ResolvedRequest,
  placement: Placement,
  leftMs: number,
): Rejection | undefined {
  const isTooLate = (): boolean => startsTooLate(resolved, placement, leftMs);
  if (!admission || placement.tokens === 0) return isTooLate() ? TOO_LATE : undefined;
  // A request that did not reach its endpoint is placed again; it is counted and admitted once.
  if (admission.hasAdmitted(resolved.metadata)) {
    return !admission.hasShortage(resolved.target) && isTooLate() ? TOO_LATE : undefined;
  }
  const request = countedRequest(resolved, placement);
  const verdict = admission.ask(request);
  const retryAfterMs = Math.max(
    verdict?.returnAfterMs ?? 0,
    Math.min(MAX_RECOGNITION_MS, resolved.route.timeoutMs * RECOGNITION_SHARE),
  );
  let rejection: Rejection | undefined;
  if (verdict === undefined) rejection = isTooLate() ? TOO_LATE : undefined;
  else if (!verdict.isAdmitted) {
    rejection = { reason: BEYOND_SHARE, retryAfterMs };
  } else if (isHopeless(resolved, placement, leftMs)) {
    rejection = { ...TOO_LATE, retryAfterMs };
  }
  admission.decided(request, resolved.metadata, rejection === undefined);
  return rejection;
}
