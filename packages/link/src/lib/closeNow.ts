import type { Server } from 'node:http';

/** Closes a server and drops its open connections; resolves once it has closed. @public */
export async function closeNow(server: Server): Promise<void> {
  server.closeAllConnections();
  await new Promise((resolve) => {
    server.close(resolve);
  });
}
