import type { IncomingMessage } from 'node:http';
import type { OutgoingRequest } from './Attempt';
import type { GatewayContext } from './GatewayContext';
import type { EndpointId } from './ids';
import type { ResolvedRequest } from './resolveRequest';

/** Endpoints take no deadline of 0. */
const MIN_DEADLINE_MS = 1;

/** What an attempt adds to the request of the caller. @internal */
export interface AttemptParameters {
  readonly endpoint: EndpointId;
  readonly leftMs: number;
  readonly body: Buffer;
  /** Prompt tokens that the endpoint is expected to read. */
  readonly tokens: number;
  /** Id of the event after which a stream goes on that was begun here. */
  readonly resumeAfter: string | undefined;
}

/** Composes the request to an endpoint. @internal */
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
