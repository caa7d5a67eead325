import type { IncomingMessage } from 'node:http';
import type { OutgoingRequest } from './Attempt';
import type { GatewayContext } from './GatewayContext';
import type { EndpointId } from './ids';
import type { ResolvedRequest } from './resolveRequest';

/** Minimum deadline, in milliseconds: endpoints do not accept a deadline of 0. */
const MIN_DEADLINE_MS = 1;

/** Values of one attempt that are added to the caller's request. @internal */
export interface AttemptParameters {
  readonly endpoint: EndpointId;
  readonly leftMs: number;
  readonly body: Buffer;
  /** Prompt tokens that the endpoint is expected to prefill. */
  readonly tokens: number;
  /** Id of the last event that the caller has received, after which the stream resumes. */
  readonly resumeAfter: string | undefined;
}

/** Composes the request that is sent to an endpoint. @internal */
export function composeAttempt(
  { wire }: GatewayContext,
  { metadata, workspace, rank }: ResolvedRequest,
  request: IncomingMessage,
  { endpoint, leftMs, body, tokens, resumeAfter }: AttemptParameters,
): OutgoingRequest {
  const headers = wire.endpointHeaders(request.rawHeaders, {
    endpoint,
    workspace: workspace?.name,
    deadlineMs: Math.max(MIN_DEADLINE_MS, Math.floor(leftMs)),
    rank,
    bodyBytes: body.length,
    resumeAfter: resumeAfter ?? metadata.resumeAfter,
  });
  return {
    method: request.method ?? 'GET',
    target: request.url ?? '/',
    headers,
    body,
    attempt: metadata.attempt,
    promptTokens: tokens,
    rank,
  };
}
