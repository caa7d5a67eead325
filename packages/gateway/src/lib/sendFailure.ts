import type { ServerResponse } from 'node:http';
import type { Failure, Timer } from '@berylwood/base';
import { endEarly } from '@berylwood/link';
import { gatewayCodes } from './codes';

const SECOND_MS = 1000;

/** @internal */
export interface FailureOptions {
  /** Time after which the caller should retry. */
  readonly retryMs?: number | undefined;
  /** Whether the connection is closed because the instance stops. */
  readonly isStopping?: boolean;
  readonly timer: Timer;
}

/**
 * Sends a failure of this system as a JSON response, with `Retry-After` if a time is given. The connection
 * is closed if the request has not arrived completely.
 * @internal
 */
export function sendFailure(
  response: ServerResponse,
  { code, notRun }: Failure,
  { retryMs, isStopping = false, timer }: FailureOptions,
): void {
  const error = { code: code.number, type: code.name, message: code.meaning, not_run: notRun };
  const body = JSON.stringify({ error });
  const headers = ['Content-Type', 'application/json', 'Content-Length', String(body.length)];
  if (retryMs !== undefined) headers.push('Retry-After', (retryMs / SECOND_MS).toFixed(3));
  // What follows a malformed request may belong to its body.
  const isMalformed = code === gatewayCodes.requestMalformed;
  const isUnfinished = !response.req.complete;
  if (isStopping || isUnfinished || isMalformed) headers.push('Connection', 'close');
  response.writeHead(code.status, headers);
  if (isUnfinished) endEarly(response, body, timer);
  else response.end(body);
}
