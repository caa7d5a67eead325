import type { OperatorRouter } from '@berylwood/control';
import { createTRPCClient, httpLink } from '@trpc/client';

/** A tRPC client of the operators' service at an address. @internal */
export function createOperatorClient(address: string) {
  return createTRPCClient<OperatorRouter>({ links: [httpLink({ url: `http://${address}` })] });
}

export type OperatorClient = ReturnType<typeof createOperatorClient>;
