import type { IncomingMessage } from 'node:http';
import { fail, type Failure } from '@berylwood/base';
import { requestCodes } from '@berylwood/schema';
import { ok, type Result } from 'neverthrow';

/** Headers that must not be repeated, as servers differ in which copy they use. */
const SINGLE_VALUE_HEADERS = [
  'authorization',
  'content-type',
  'host',
  'idempotency-key',
  'x-request-class',
];

/** Rejects requests whose headers two HTTP parsers could interpret differently. @internal */
export function checkHeaders(request: IncomingMessage): Result<void, Failure> {
  for (const name of SINGLE_VALUE_HEADERS) {
    if ((request.headersDistinct[name]?.length ?? 0) > 1) {
      return fail(requestCodes.malformedRequest, `the header ${name} appears more than once`);
    }
  }
  const { 'transfer-encoding': encoding, 'content-length': length } = request.headers;
  if (encoding !== undefined && (length !== undefined || encoding.toLowerCase() !== 'chunked')) {
    return fail(requestCodes.malformedRequest, 'the length of the body is ambiguous');
  }
  return ok(undefined);
}
