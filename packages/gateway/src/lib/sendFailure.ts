import type { ServerResponse } from 'node:http';
import type { Failure } from '@berylwood/base';
import { gatewayCodes } from './codes';

const SECOND_MS = 1000;

/** Sends a failure of this system as a JSON response, with `Retry-After` if a time is given. @internal */
export function sendFailure(
  response: ServerResponse,
  { code, notRun }: Failure,
  retryMs: number | undefined,
  closesConnection: boolean,
): void {
  const error = { code: code.number, type: code.name, message: code.meaning, not_run: notRun };
  const body = JSON.stringify({ error });
  const headers = ['Content-Type', 'application/json', 'Content-Length', String(body.length)];
  if (retryMs !== undefined) headers.push('Retry-After', (retryMs / SECOND_MS).toFixed(3));
  // What follows a malformed request may belong to its body.
  const isMalformed = code === gatewayCodes.requestMalformed;
  if (closesConnection || isMalformed) headers.push('Connection', 'close');
  response.writeHead(code.status, headers);
  response.end(body);
}
