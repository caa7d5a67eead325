import {
  configurationSchema,
  idSchema,
  keyRecordSchema,
  meterBatchSchema,
  type ChangeId,
  type KeyId,
} from '@berylwood/schema';
import { Packr, Unpackr } from 'msgpackr';
import { z } from 'zod';

const change = idSchema<ChangeId>();

/** Wall-clock time of the leader when it proposed the command, in milliseconds. */
const at = z.number();

/** Commands of the replicated state. @public */
export const commandSchema = z.discriminatedUnion('type', [
  z.object({
    type: z.literal('configure'),
    change,
    at,
    /** Who made the change, for the history. */
    operator: z.string(),
    /** Revision that the change was made against. */
    expected: z.number().int(),
    configuration: configurationSchema,
  }),
  z.object({ type: z.literal('giveKey'), change, at, record: keyRecordSchema }),
  z.object({ type: z.literal('withdrawKey'), change, at, key: idSchema<KeyId>() }),
  z.object({ type: z.literal('meter'), at, batch: meterBatchSchema }),
  /** A new leader takes the next fencing number. */
  z.object({ type: z.literal('fence'), at, replica: z.string() }),
]);

export type Command = z.output<typeof commandSchema>;

/** What a command came to; a refusal names a numbered code. @public */
export type CommandOutcome =
  | { readonly type: 'done'; readonly revision: number; readonly fence: number }
  | { readonly type: 'refused'; readonly code: number; readonly message: string };

const packr = new Packr({ useRecords: false });
const unpackr = new Unpackr({ useRecords: false });

/** @public */
export function encodeCommand(command: Command): Uint8Array {
  return packr.pack(command);
}

/** @public */
export function decodeCommand(bytes: Uint8Array): Command {
  return commandSchema.parse(unpackr.unpack(bytes));
}

/** @public */
export function encodeOutcome(outcome: CommandOutcome): Uint8Array {
  return packr.pack(outcome);
}

/** @public */
export function decodeOutcome(bytes: Uint8Array): CommandOutcome {
  return unpackr.unpack(bytes) as CommandOutcome;
}
