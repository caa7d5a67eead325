import { connect } from 'node:net';
import { splitAddress } from '@berylwood/link';

/** Timeout for connecting to the endpoint on the same instance. */
export const CONNECT_TIMEOUT_MS = 2000;

/** Codes of errors that occur before a connection is established. */
const UNREACHED_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ETIMEDOUT']);

function errorCode(error: unknown): string {
  return String((error as NodeJS.ErrnoException).code ?? '');
}

/** Whether the error proves that no byte of the request was sent. @internal */
export function isUnreached(error: unknown): boolean {
  const { syscall } = error as NodeJS.ErrnoException;
  if (errorCode(error) === 'UND_ERR_CONNECT_TIMEOUT') return true;
  return syscall === 'connect' && UNREACHED_CODES.has(errorCode(error));
}

/** Whether the peer closed or reset the connection. @internal */
export function isConnectionLost(error: unknown): boolean {
  return ['ECONNRESET', 'EPIPE', 'UND_ERR_SOCKET'].includes(errorCode(error));
}

/**
 * Opens a connection and closes it again.
 * @throws the connection error.
 * @internal
 */
export function probeConnection(address: string): Promise<void> {
  const { host, port } = splitAddress(address);
  return new Promise((resolve, reject) => {
    const socket = connect({ host, port, timeout: CONNECT_TIMEOUT_MS });
    socket.once('connect', () => {
      socket.destroy();
      resolve();
    });
    socket.once('timeout', () => socket.destroy(new Error('no connection in time')));
    socket.once('error', reject);
  });
}

/** Whether a connection probe shows that nothing listens on the address. @internal */
export async function isNotListening(address: string): Promise<boolean> {
  try {
    await probeConnection(address);
    return false;
  } catch (error) {
    return isUnreached(error);
  }
}
