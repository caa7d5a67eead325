import type { ServerResponse } from 'node:http';
import type { Failure } from '@berylwood/base';
import { isOpenEventStream } from './isOpenEventStream';

const MS_PER_S = 1000;

/** Response body of an error. */
function errorBody(failure: Failure): Record<string, unknown> {
  return {
    error: {
      code: failure.code.number,
      type: failure.code.name,
      message: failure.message,
      not_run: failure.notRun,
    },
  };
}

/** Responds with an error; an event stream that has started ends with an error event. @internal */
export function sendFailure(response: ServerResponse, failure: Failure): void {
  const body = JSON.stringify(errorBody(failure));
  if (response.headersSent) {
    // Other responses are aborted, so that the caller does not take a truncated one as complete.
    if (isOpenEventStream(response.getHeaders())) response.end(`data: ${body}\n\n`);
    else response.destroy();
    return;
  }
  const headers: Record<string, string | number> = {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
  };
  if (failure.retryAfterMs !== undefined) {
    headers['retry-after'] = Math.max(1, Math.ceil(failure.retryAfterMs / MS_PER_S));
  }
  response.writeHead(failure.code.status, headers);
  response.end(body);
}
