import { TRPCClientError } from '@trpc/client';
import { ExitCode } from './ExitCode';
import { CommandError } from './CommandError';
import { createOperatorClient, type OperatorClient } from './createOperatorClient';

/**
 * Codes of answers after which another replica, or a later time, may do: no leader, a change of
 * leader, a full queue. Asking again is safe, as a change carries its id.
 */
const RETRYABLE_CODES = ['3100', '1200', '1201', '1202', '1204', '1205', '1208'];

const RETRY_TIMEOUT_MS = 20_000;
const RETRY_DELAY_MS = 100;

function isErrorResponse(error: unknown): boolean {
  return error instanceof TRPCClientError && error.data !== undefined && error.data !== null;
}

function isRetryable(message: string): boolean {
  return RETRYABLE_CODES.some((code) => message.startsWith(`${code}:`));
}

function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });
}

/**
 * Asks the control replicas in turn until one answers as the leader.
 * @throws CommandError when the group refuses or can not be reached.
 * @internal
 */
export async function callOperatorService<T>(
  addresses: readonly string[],
  call: (client: OperatorClient) => Promise<T>,
): Promise<T> {
  const deadline = performance.now() + RETRY_TIMEOUT_MS;
  let lastError = '';
  for (let attempt = 0; performance.now() < deadline; attempt += 1) {
    const address = addresses[attempt % addresses.length] ?? '';
    try {
      return await call(createOperatorClient(address));
    } catch (error) {
      lastError = (error as Error).message;
      if (isErrorResponse(error) && !isRetryable(lastError))
        throw new CommandError(ExitCode.Refused, lastError);
    }
    if ((attempt + 1) % addresses.length === 0) await sleep(RETRY_DELAY_MS);
  }
  throw new CommandError(ExitCode.Unreachable, `no control replica answered: ${lastError}`);
}
