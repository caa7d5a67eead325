import { createTRPCClient, httpLink } from '@trpc/client';
import type { OperatorRouter } from '../lib/operatorRouter';

const RESPONSE_TIMEOUT_MS = 2000;
const RETRY_DELAY_MS = 50;
const TOTAL_TIMEOUT_MS = 30_000;

/** Errors that leave the outcome of a change open: no leader, or a change of leader. */
const TRANSIENT = /^(3100|120[0-8]):/;

function createClient(address: string) {
  const link = httpLink({
    url: `http://${address}`,
    fetch: (url, options) =>
      fetch(url, { ...(options as RequestInit), signal: AbortSignal.timeout(RESPONSE_TIMEOUT_MS) }),
  });
  return createTRPCClient<OperatorRouter>({ links: [link] });
}

export type OperatorClient = ReturnType<typeof createClient>;

/** Calls the replicas of a deployment in turn, and retries after a lost response. @internal */
export class OperatorGroup {
  /** Number of retries after lost responses and transient errors. */
  resends = 0;

  readonly #clients: OperatorClient[];

  /** Counter that selects the replica that responded last; each call starts from there. */
  #current = 0;

  constructor(addresses: string) {
    this.#clients = addresses.split(',').map(createClient);
  }

  /** @throws the first error of the group that is not transient, or the last error after 30 s. */
  async call<T>(operation: (client: OperatorClient) => Promise<T>): Promise<T> {
    const deadline = Date.now() + TOTAL_TIMEOUT_MS;
    for (let next = this.#current; ; next += 1) {
      const client = this.#clients[next % this.#clients.length] as OperatorClient;
      try {
        const answer = await operation(client);
        this.#current = next;
        return answer;
      } catch (error) {
        const { message, data } = error as Error & { data?: unknown };
        if ((data && !TRANSIENT.test(message)) || Date.now() > deadline) throw error;
        this.resends += 1;
        await new Promise((resolve) => {
          setTimeout(resolve, RETRY_DELAY_MS);
        });
      }
    }
  }
}
