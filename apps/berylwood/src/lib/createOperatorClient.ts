import type { OperatorRouter } from '@berylwood/control';
import { createTRPCClient, httpLink } from '@trpc/client';

/** Time-out of one request. A frozen replica accepts connections but never responds. */
const REQUEST_TIMEOUT_MS = 5000;

/** Creates a tRPC client of the operator service at an address. @internal */
export function createOperatorClient(address: string) {
  const link = httpLink({
    url: `http://${address}`,
    fetch: (url, options) =>
      fetch(url, { ...(options as RequestInit), signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS) }),
  });
  return createTRPCClient<OperatorRouter>({ links: [link] });
}

export type OperatorClient = ReturnType<typeof createOperatorClient>;
