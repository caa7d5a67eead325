import { TRPCClientError } from '@trpc/client';
import { ExitCode } from './codes';
import { CommandError } from './CommandError';
import { createOperatorClient, type OperatorClient } from './createOperatorClient';

/** Prefix of a refusal by a replica that does not lead: code 3100. */
const NOT_LEADER = '3100:';

const ATTEMPTS = 20;
const PAUSE_MS = 250;

function isRefusal(error: unknown): boolean {
  return error instanceof TRPCClientError && error.data !== undefined && error.data !== null;
}

/**
 * Asks the control replicas in turn until one answers as the leader.
 * @throws CommandError when the group refuses or can not be reached.
 * @internal
 */
export async function askOperator<T>(
  addresses: readonly string[],
  ask: (client: OperatorClient) => Promise<T>,
): Promise<T> {
  let last = '';
  for (let attempt = 0; attempt < ATTEMPTS; attempt += 1) {
    const address = addresses[attempt % addresses.length] ?? '';
    try {
      return await ask(createOperatorClient(address));
    } catch (error) {
      last = (error as Error).message;
      if (isRefusal(error) && !last.startsWith(NOT_LEADER)) {
        throw new CommandError(ExitCode.Refused, last);
      }
    }
    await new Promise((resolve) => {
      setTimeout(resolve, PAUSE_MS);
    });
  }
  throw new CommandError(ExitCode.Unreachable, `no control replica answered: ${last}`);
}
