import type { AddressInfo, Server } from 'node:net';
import { splitAddress } from './address';

/**
 * Lets a server listen on `IP:PORT` and resolves to the address in use; rejects with the error of
 * the socket, such as EADDRINUSE.
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
