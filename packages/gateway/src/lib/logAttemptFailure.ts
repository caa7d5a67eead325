import type { Attempt } from './Attempt';
import { gatewayEvents } from './events';
import type { GatewayContext } from './GatewayContext';
import type { ResolvedRequest } from './resolveRequest';

/** State of a request after a failed attempt. */
interface FailedTries {
  readonly attempt: Attempt | undefined;
  readonly sends: number;
  readonly leftMs: number;
}

/** Writes a log line for an attempt that produced no usable response. @internal */
export function logAttemptFailure(
  { journal }: GatewayContext,
  { metadata }: ResolvedRequest,
  { attempt, sends, leftMs }: FailedTries,
  cause: { readonly type: string; readonly reason: string },
): void {
  journal.record(gatewayEvents.attemptFailed, {
    request: metadata.attempt,
    endpoint: attempt?.endpoint.listed.id,
    ...cause,
    sends,
    leftMs: Math.round(leftMs),
  });
}
