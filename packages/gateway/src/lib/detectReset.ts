import type { Socket } from 'node:net';

/**
 * Returns a function that tells, once the socket has ended, whether the connection was reset: a reset that arrives
 * together with data is reported as an orderly end, but leaves no peer.
 * @internal
 */
export function detectReset(socket: Socket): () => boolean {
  let wasReset = false;
  socket.prependOnceListener('end', () => {
    wasReset = !socket.destroyed && socket.remoteAddress === undefined;
  });
  return () => wasReset;
}
