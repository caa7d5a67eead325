import type { IncomingMessage } from 'node:http';

/**
 * Returns a function that tells, once a response has ended, whether its connection was reset: a reset that arrives
 * together with data is reported as an orderly end, but leaves no peer. It leaves nothing on the socket, which may
 * serve further requests.
 * @internal
 */
export function detectReset(response: IncomingMessage): () => boolean {
  const { socket } = response;
  let wasReset = false;
  const onSocketEnd = (): void => {
    wasReset = !socket.destroyed && socket.remoteAddress === undefined;
  };
  const stop = (): void => {
    socket.off('end', onSocketEnd);
  };
  socket.prependOnceListener('end', onSocketEnd);
  response.once('end', stop);
  response.once('close', stop);
  return () => wasReset;
}
