import type { AddressInfo, Server } from 'node:net';
import { splitAddress } from './address';

/**
 * Starts listening on `IP:PORT` and resolves to the bound address; rejects with the socket error,
 * such as EADDRINUSE.
 * @public
 */
export async function listenOn(server: Server, address: string): Promise<string> {
  const { host, port } = splitAddress(address);
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  return `${host}:${(server.address() as AddressInfo).port}`;
}
