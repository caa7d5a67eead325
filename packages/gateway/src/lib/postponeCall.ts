import type { ServerResponse } from 'node:http';

/** Time after which operators should retry on another instance, in milliseconds. @internal */
export const RETRY_AFTER_MS = 200;

/** Responds to an operator call with 503 and `Retry-After`. @internal */
export function postponeCall(response: ServerResponse, reason: string): void {
  const headers = { 'Retry-After': String(RETRY_AFTER_MS / 1000), 'Content-Type': 'text/plain' };
  response.writeHead(503, headers).end(reason);
}
