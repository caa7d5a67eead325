import type { Socket } from 'node:net';

/**
 * Resets a connection without waiting for unsent bytes. If only its orderly end is left to be sent, the reset
 * follows that end: Node.js keeps a socket open for good that is reset in between, and its process can't exit.
 * @public
 */
export function resetSocket(socket: Socket): void {
  if (socket.connecting) {
    socket.once('connect', () => resetSocket(socket));
    return;
  }
  const isEnding = socket.writableEnded && !socket.writableFinished && socket.writableLength === 0;
  if (isEnding) socket.once('finish', () => socket.resetAndDestroy());
  else socket.resetAndDestroy();
}
