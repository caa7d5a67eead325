import { createChangeId, type ChangeId } from '@berylwood/schema';
import type { Command } from 'commander';
import { callOperatorService } from './callOperatorService';
import type { OperatorClient } from './createOperatorClient';

const DEFAULT_CONTROL = '127.0.0.1:7071';

/** Options of all commands that call the control group. @internal */
export interface OperatorOptions {
  readonly control: string;
  readonly json?: boolean;
  readonly change?: ChangeId;
}

/** Adds the options shared by all operator commands. @internal */
export function addOperatorOptions(command: Command): Command {
  return command
    .option('--control <addresses>', 'operators’ addresses of the replicas', DEFAULT_CONTROL)
    .option('--json', 'print JSON');
}

/** Adds the options of commands that change the state of the group. @internal */
export function addChangeOptions(command: Command): Command {
  return addOperatorOptions(command).option(
    '--change <id>',
    'id of the change; resend a change with its id after a lost answer',
  );
}

/** Calls the control group at the addresses in the options. @internal */
export function callControl<T>(
  options: OperatorOptions,
  call: (client: OperatorClient) => Promise<T>,
): Promise<T> {
  const addresses = options.control.split(',').map((address) => address.trim());
  return callOperatorService(addresses, call);
}

/**
 * Returns the change id in the options, or creates one from the current log index. A new id is printed
 * before the change is sent, so that the change can be resent after a lost response.
 * @internal
 */
export async function resolveChangeId(options: OperatorOptions): Promise<ChangeId> {
  if (options.change) return options.change;
  const { index } = await callControl(options, (client) => client.position.query());
  const change = createChangeId(index);
  process.stderr.write(`change ${change}\n`);
  return change;
}

/** Prints a result as JSON or as text. @internal */
export function print(options: OperatorOptions, value: unknown, text: string): void {
  process.stdout.write(options.json ? `${JSON.stringify(value)}\n` : `${text}\n`);
}
