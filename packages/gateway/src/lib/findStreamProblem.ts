import type { ResponseHead } from './readResponseHead';
import type { Route } from './RoutingConfiguration';

const MIN_SUCCESS_STATUS = 200;
const MAX_SUCCESS_STATUS = 299;

/**
 * Returns why the body after a head cannot be forwarded as a stream of events, or undefined. A success on a stream's
 * route whose body is not one of events is no response of the endpoint, as the caller may read events in it.
 * @param isResumed - whether the caller already has events of another endpoint in the same response.
 * @internal
 */
export function findStreamProblem(
  { status, hasBody, isEventStream }: ResponseHead,
  { kind }: Pick<Route, 'kind'>,
  isResumed: boolean,
): string | undefined {
  if (isEventStream) return undefined;
  if (isResumed) return `stream not resumed, status ${status}`;
  const isSuccess = status >= MIN_SUCCESS_STATUS && status <= MAX_SUCCESS_STATUS;
  if (kind !== 'stream' || !isSuccess || !hasBody) return undefined;
  return 'malformed response: not a stream of events';
}
