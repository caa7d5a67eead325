import type { ResponseHead } from './readResponseHead';
import type { Route } from './RoutingConfiguration';

const OK_STATUS = 200;
const MAX_SUCCESS_STATUS = 299;

/**
 * Returns why the body after a head cannot be forwarded as a stream of events, or undefined. A success on a stream's
 * route that does not hold a whole stream of events is no response of the endpoint, as the caller may read events in
 * it; and only such a stream continues another one.
 * @param isResumed - whether the caller already has events of another endpoint in the same response.
 * @internal
 */
export function findStreamProblem(
  { status, hasBody, isEventStream }: ResponseHead,
  { kind }: Pick<Route, 'kind'>,
  isResumed: boolean,
): string | undefined {
  const isStream = status === OK_STATUS && hasBody && isEventStream;
  if (isResumed) return isStream ? undefined : `stream not resumed, status ${status}`;
  if (kind !== 'stream' || status < OK_STATUS || status > MAX_SUCCESS_STATUS) return undefined;
  // The response to a HEAD request has no body.
  if (isStream || (status === OK_STATUS && !hasBody)) return undefined;
  return `malformed response: status ${status} without a stream of events`;
}
