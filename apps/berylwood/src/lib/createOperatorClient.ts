import type { OperatorRouter } from '@berylwood/control';
import { createTRPCClient, httpLink } from '@trpc/client';

/** Time for one answer: a frozen replica accepts connections and says nothing. */
const REQUEST_TIMEOUT_MS = 5000;

/** A tRPC client of the operators' service at an address. @internal */
export function createOperatorClient(address: string) {
  const link = httpLink({
    url: `http://${address}`,
    fetch: (url, options) =>
      fetch(url, { ...(options as RequestInit), signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS) }),
  });
  return createTRPCClient<OperatorRouter>({ links: [link] });
}

export type OperatorClient = ReturnType<typeof createOperatorClient>;
