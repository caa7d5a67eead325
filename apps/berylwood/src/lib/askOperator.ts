import { TRPCClientError } from '@trpc/client';
import { ExitCode } from './ExitCode';
import { CommandError } from './CommandError';
import { createOperatorClient, type OperatorClient } from './createOperatorClient';

/**
 * Codes of answers after which another replica, or a later time, may do: no leader, a change of
 * leader, a full queue. Asking again is safe, as a change carries its id.
 */
const PASSING = ['3100', '1200', '1201', '1202', '1204', '1205', '1208'];

const LIMIT_MS = 20_000;
const PAUSE_MS = 100;

function isRefusal(error: unknown): boolean {
  return error instanceof TRPCClientError && error.data !== undefined && error.data !== null;
}

function isPassing(message: string): boolean {
  return PASSING.some((code) => message.startsWith(`${code}:`));
}

function pause(durationMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });
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
  const deadline = performance.now() + LIMIT_MS;
  let last = '';
  for (let attempt = 0; performance.now() < deadline; attempt += 1) {
    const address = addresses[attempt % addresses.length] ?? '';
    try {
      return await ask(createOperatorClient(address));
    } catch (error) {
      last = (error as Error).message;
      if (isRefusal(error) && !isPassing(last)) throw new CommandError(ExitCode.Refused, last);
    }
    if ((attempt + 1) % addresses.length === 0) await pause(PAUSE_MS);
  }
  throw new CommandError(ExitCode.Unreachable, `no control replica answered: ${last}`);
}
