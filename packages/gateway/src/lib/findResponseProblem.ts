import { findMalformedHeader } from './findMalformedHeader';
import { quoteForLog } from './quoteForLog';
import { valuesOf } from './valuesOf';
import type { RawHeaders } from './Wire';

const MIN_STATUS = 200;
const MAX_STATUS = 599;
const NO_CONTENT = 204;

/** Head of a response as the parser of Node.js returns it. */
interface ReceivedHead {
  readonly status: number;
  readonly rawHeaders: RawHeaders;
  /** Whether the head states a body by a length other than 0 or by a transfer encoding. */
  readonly statesBody: boolean;
}

/**
 * Returns why the head of an endpoint's response is not one of HTTP, or undefined. Nothing in such a head is
 * trusted, and no part of it reaches the caller.
 * @internal
 */
export function findResponseProblem(head: ReceivedHead): string | undefined {
  const { status, rawHeaders, statesBody } = head;
  if (status < MIN_STATUS || status > MAX_STATUS) return `status ${status}`;
  if (status === NO_CONTENT && statesBody) return 'status 204 with a body';
  const codings = valuesOf(rawHeaders, 'transfer-encoding');
  // With any other coding the body is not what the parser passes on, nor is its end where the parser finds it.
  if (codings.some((coding) => !/^chunked$/i.test(coding.trim()))) return 'a transfer encoding';
  const header = findMalformedHeader(rawHeaders);
  return header === undefined ? undefined : `header ${quoteForLog(header)}`;
}
