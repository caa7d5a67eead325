import { createTRPCClient, httpLink } from '@trpc/client';
import type { OperatorRouter } from '../lib/operatorRouter';

const RESPONSE_TIMEOUT_MS = 2000;
const RETRY_DELAY_MS = 50;
const TOTAL_TIMEOUT_MS = 30_000;

/** Refusals that say nothing about the change: no leader, or a change of leader. */
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

/** Asks the replicas of a deployment in turn, and resends after a lost answer. @internal */
export class OperatorGroup {
  /** Answers that were lost or passing, so that the question was sent again. */
  resends = 0;

  readonly #clients: OperatorClient[];

  /** The replica that answered last; each question goes on from there by itself. */
  #current = 0;

  constructor(addresses: string) {
    this.#clients = addresses.split(',').map(createClient);
  }

  /** @throws the refusal of the group, or the last error after 30 s. */
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
