import { TRPCClientError } from '@trpc/client';
import { ExitCode } from './ExitCode';
import { CommandError } from './CommandError';
import { createOperatorClient, type OperatorClient } from './createOperatorClient';

/**
 * Result codes of errors that are retried on the next replica: no leader, a change of leader or a
 * full queue. Retries are idempotent, since a change carries its id.
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
 * Calls the operator service of the control replicas in turn until one succeeds, and retries network
 * errors and retryable result codes.
 * @throws CommandError if the group rejects the call or no replica succeeds in time.
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
  throw new CommandError(
    ExitCode.Unreachable,
    `no control replica responded successfully: ${lastError}`,
  );
}
