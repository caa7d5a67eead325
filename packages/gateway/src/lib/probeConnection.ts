import { connect } from 'node:net';
import type { Timer } from '@berylwood/base';
import { splitAddress } from '@berylwood/link';

/** Connect timeout, in milliseconds; the network latency is a few milliseconds. */
export const CONNECT_TIMEOUT_MS = 300;

/**
 * What happens to a new connection: accepted, refused by a machine on whose port nothing listens, no
 * response in time, or any other error.
 * @internal
 */
export type ProbeResult = 'accepted' | 'refused' | 'silent' | 'failed';

/** Opens a connection to an address, `IP:PORT`, and closes it. @internal */
export async function probeConnection(address: string, timer: Timer): Promise<ProbeResult> {
  const socket = connect({ ...splitAddress(address) });
  let timeout: Disposable | undefined;
  const result = await new Promise<ProbeResult>((resolve) => {
    timeout = timer.after(CONNECT_TIMEOUT_MS, () => resolve('silent'));
    socket.once('connect', () => resolve('accepted'));
    socket.once('error', ({ code }: NodeJS.ErrnoException) =>
      resolve(code === 'ECONNREFUSED' ? 'refused' : 'failed'),
    );
  });
  timeout?.[Symbol.dispose]();
  socket.destroy();
  return result;
}
