import type { IncomingMessage, ServerResponse } from 'node:http';
import { fail, type Failure } from '@berylwood/base';
import { readBody as readBytes, type BodyLimits, type ReadBody } from '@berylwood/link';
import { requestCodes } from '@berylwood/schema';
import { ok, type Result } from 'neverthrow';

/** Time after which a caller should retry when the memory for bodies is spent, in milliseconds. */
const RETRY_AFTER_MS = 1000;

function toResult(body: ReadBody, maxBytes: number): Result<Buffer, Failure> {
  const { requestTooLarge, requestTooSlow, overloaded } = requestCodes;
  if (body === 'tooLarge') {
    return fail(requestTooLarge, `the body is larger than ${maxBytes} bytes`);
  }
  if (body === 'gone') return fail(requestTooSlow, 'the body ended early');
  if (body === 'overBudget') {
    return fail(overloaded, 'the body budget is spent', { retryAfterMs: RETRY_AFTER_MS });
  }
  return ok(body);
}

/** Reads a body within the limits. After a failure, the connection ends with the response. @internal */
export function readBody(
  request: IncomingMessage,
  response: ServerResponse,
  limits: BodyLimits,
): Promise<Result<Buffer, Failure>> {
  return new Promise((resolve) => {
    readBytes(request, response, limits, (body) => {
      if (!Buffer.isBuffer(body)) response.shouldKeepAlive = false;
      resolve(toResult(body, limits.maxBytes));
    });
  });
}
