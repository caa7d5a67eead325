import type { Socket } from 'node:net';
import { buildConnector, errors } from 'undici';
import { CONNECT_TIMEOUT_MS } from './connection';

function createResetError(cause?: Error): Error {
  return Object.assign(new errors.SocketError('the connection was reset'), { cause });
}

/**
 * Reports the reset of a connection as an error that undici does not take for the end of a response. undici reads a
 * reset as the end of a response without a length, and Node.js reports one that arrives together with data as an
 * orderly end, after which the connection has no peer.
 */
function failOnReset(socket: Socket): void {
  const push = socket.push.bind(socket);
  Object.assign(socket, {
    push(chunk: unknown, encoding?: BufferEncoding): boolean {
      const isReset = chunk === null && !socket.destroyed && socket.remoteAddress === undefined;
      if (!isReset) return push(chunk, encoding);
      socket.destroy(createResetError());
      return false;
    },
  });
  const destroy = socket.destroy.bind(socket);
  Object.assign(socket, {
    destroy(error?: NodeJS.ErrnoException): Socket {
      return destroy(error?.code === 'ECONNRESET' ? createResetError(error) : error);
    },
  });
}

/** Creates the function by which a connection pool of undici connects to the endpoint. @internal */
export function createConnector(): buildConnector.connector {
  const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS });
  return (options, callback) => {
    connect(options, (...result) => {
      const [, socket] = result;
      if (socket) failOnReset(socket);
      callback(...result);
    });
  };
}
