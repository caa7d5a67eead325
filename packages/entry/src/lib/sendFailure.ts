import type { ServerResponse } from 'node:http';
import type { Failure } from '@berylwood/base';

const MS_PER_S = 1000;

/** An error as callers see it. */
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

/** Answers with an error; a streamed answer that has begun ends with an error event. @internal */
export function sendFailure(response: ServerResponse, failure: Failure): void {
  const body = JSON.stringify(errorBody(failure));
  if (response.headersSent) {
    const isStream = String(response.getHeader('content-type')).startsWith('text/event-stream');
    // Without an error event the caller could take a cut answer of known length for a whole one.
    if (isStream) response.end(`data: ${body}\n\n`);
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
