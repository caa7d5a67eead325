import { createChangeId, type ChangeId } from '@berylwood/schema';
import type { Command } from 'commander';
import { callOperatorService } from './callOperatorService';
import type { OperatorClient } from './createOperatorClient';

const DEFAULT_CONTROL = '127.0.0.1:7071';

/** Options of every command that asks the control group. @internal */
export interface OperatorOptions {
  readonly control: string;
  readonly json?: boolean;
  readonly change?: ChangeId;
}

/** Adds the options of commands that ask. @internal */
export function addOperatorOptions(command: Command): Command {
  return command
    .option('--control <addresses>', 'operators’ addresses of the replicas', DEFAULT_CONTROL)
    .option('--json', 'print JSON');
}

/** Adds the options of commands that change something. @internal */
export function addChangeOptions(command: Command): Command {
  return addOperatorOptions(command).option(
    '--change <id>',
    'id of the change; resend a change with its id after a lost answer',
  );
}

/** Asks the group that the options name. @internal */
export function callControl<T>(
  options: OperatorOptions,
  call: (client: OperatorClient) => Promise<T>,
): Promise<T> {
  const addresses = options.control.split(',').map((address) => address.trim());
  return callOperatorService(addresses, call);
}

/**
 * The id of the change: the one given, or a new one from the present position, shown before the
 * change is sent so that it can be resent after a lost answer.
 * @internal
 */
export async function beginChange(options: OperatorOptions): Promise<ChangeId> {
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
