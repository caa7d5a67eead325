import { ExitCode } from './ExitCode';
import { CommandError } from './CommandError';
import { callControl, type OperatorOptions } from './operatorOptions';

const TIMEOUT_MS = 15_000;

/** Interval between progress lines. */
const PROGRESS_INTERVAL_MS = 500;

const MAX_SHOWN_NODES = 5;

function formatPending(pending: readonly string[]): string {
  const more =
    pending.length > MAX_SHOWN_NODES ? ` and ${pending.length - MAX_SHOWN_NODES} more` : '';
  return `${pending.slice(0, MAX_SHOWN_NODES).join(', ')}${more}`;
}

/**
 * Waits until a change is in force on all nodes, and prints progress on standard error.
 * @throws CommandError if the wait times out; the change remains committed.
 * @internal
 */
export async function waitInForce(options: OperatorOptions, index: number): Promise<void> {
  const deadline = performance.now() + TIMEOUT_MS;
  let pending: readonly string[] = [];
  do {
    const report = await callControl(options, (client) =>
      client.waitInForce.query({ index, timeoutMs: PROGRESS_INTERVAL_MS }),
    );
    if (report.inForce) return;
    pending = report.pending;
    process.stderr.write(`committed; waiting for ${formatPending(pending)}\n`);
  } while (performance.now() < deadline);
  const message = `committed, but not yet in force on: ${formatPending(pending)}`;
  throw new CommandError(ExitCode.NotInForce, message);
}
