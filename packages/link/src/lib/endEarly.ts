import type { ServerResponse } from 'node:http';
import type { Timer } from '@berylwood/base';
import { pacedConnectionOf } from './paceConnections';

/** Time in which a caller can read a response to a request that it is still sending, in milliseconds. */
const READ_MS = 1000;

/** Bytes of the rest of such a request that are discarded. */
const MAX_DISCARDED_BYTES = 256 * 1024;

/**
 * Ends a response whose head was written, before its request has arrived completely. The rest of the request is
 * discarded for a short time: closing a connection with unread bytes resets it, and the caller might lose
 * the response. Then the connection is closed, also if the caller goes on sending or does not read.
 * @public
 */
export function endEarly(response: ServerResponse, body: string, timer: Timer): void {
  const { req: request } = response;
  const { socket } = request;
  const timeout = timer.after(READ_MS, () => socket.destroy());
  socket.once('close', () => timeout[Symbol.dispose]());
  const connection = pacedConnectionOf(request);
  if (connection) connection.discard(MAX_DISCARDED_BYTES);
  else {
    let bytes = 0;
    request.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes > MAX_DISCARDED_BYTES) socket.destroy();
    });
    request.once('end', () => {
      timeout[Symbol.dispose]();
      response.end();
    });
  }
  // The stated length tells the caller that the response is complete.
  if (body.length > 0) response.write(body);
  else response.flushHeaders();
}
