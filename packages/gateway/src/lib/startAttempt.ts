import type { IncomingMessage } from 'node:http';
import { Attempt, type AttemptListener } from './Attempt';
import { composeAttempt, type AttemptParameters } from './composeAttempt';
import type { Endpoint } from './Endpoint';
import type { GatewayContext } from './GatewayContext';
import type { ResolvedRequest } from './resolveRequest';
import { StallDetector } from './StallDetector';

/** @internal */
export interface StartedAttempt {
  readonly attempt: Attempt;
  readonly detector: StallDetector;
}

/** Where a request is sent, and who follows the attempt. */
interface AttemptOptions extends Omit<AttemptParameters, 'endpoint'> {
  readonly endpoint: Endpoint;
  readonly listener: AttemptListener;
  readonly onStall: (reason: string) => void;
}

/** Sends a request to an endpoint and watches the response for a stall. @internal */
export function startAttempt(
  context: GatewayContext,
  resolved: ResolvedRequest,
  request: IncomingMessage,
  { endpoint, listener, onStall, ...parameters }: AttemptOptions,
): StartedAttempt {
  if (endpoint.statements.takePermit()) context.held.recordTaken(resolved.target);
  const { id } = endpoint.listed;
  const outgoing = composeAttempt(context, resolved, request, { ...parameters, endpoint: id });
  const attempt = new Attempt(endpoint, outgoing, listener, context);
  const { timer } = context;
  return { attempt, detector: new StallDetector({ timer, attempt, ...resolved, onStall }) };
}
