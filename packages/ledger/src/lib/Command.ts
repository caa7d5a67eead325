import {
  claimAnswerSchema,
  configurationSchema,
  idSchema,
  keyRecordSchema,
  meterBatchSchema,
  nodeCallSchema,
  orderActionSchema,
  type ChangeId,
  type KeyId,
  type OrderId,
  type WindowId,
} from '@berylwood/schema';
import { Packr, Unpackr } from 'msgpackr';
import { z } from 'zod';
import { migrateCommand } from './migrations';

const change = idSchema<ChangeId>();
const order = idSchema<OrderId>();
const fence = z.number().int();

/** Wall-clock time of the leader when it proposed the command, in milliseconds. */
const at = z.number();

const [meterCall, claimCall, settleCall, suspectCall, clearCall] = nodeCallSchema.options;

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
  meterCall.extend({ at, batch: meterBatchSchema }),
  claimCall.extend({ at }),
  settleCall.extend({ at }),
  suspectCall.extend({ at }),
  clearCall.extend({ at }),
  /** A new leader takes the next fencing number. The first one fixes the length of windows. */
  z.object({
    type: z.literal('fence'),
    at,
    replica: z.string(),
    windowMs: z.number().int().positive().optional(),
  }),
  /** Freezes the figures of all windows that end at or before a time. */
  z.object({ type: z.literal('closeWindows'), at, endsAt: z.number() }),
  /** The platform has taken the report of a window. */
  z.object({ type: z.literal('windowReported'), at, window: idSchema<WindowId>(), fence }),
  z.object({ type: z.literal('intendOrder'), change, at, order, action: orderActionSchema }),
  z.object({ type: z.literal('sendOrder'), at, order, fence }),
  z.object({
    type: z.literal('answerOrder'),
    at,
    order,
    accepted: z.boolean(),
    message: z.string(),
  }),
  z.object({ type: z.literal('loseOrder'), at, order, reason: z.string() }),
  /** One part of a backup, for a new group. */
  z.object({
    type: z.literal('restorePart'),
    at,
    part: z.number().int(),
    parts: z.number().int(),
    bytes: z.custom<Uint8Array>((value) => value instanceof Uint8Array),
  }),
]);

export type Command = z.output<typeof commandSchema>;

/** One kind of command. @public */
export type CommandOf<Type extends Command['type']> = Extract<Command, { type: Type }>;

const outcomeSchema = z.discriminatedUnion('type', [
  z.object({
    type: z.literal('done'),
    /** Feed index at which the command took effect; a resend shows the first one. */
    index: z.number(),
    revision: z.number(),
    fence: z.number(),
    /** The key that the change created, on its first execution. */
    key: keyRecordSchema.optional(),
  }),
  z.object({ type: z.literal('claimed'), answer: claimAnswerSchema }),
  /** Sequence up to which all usage of the sidecar's run is counted. */
  z.object({
    type: z.literal('metered'),
    mark: z.number(),
    /** Records that were not counted as their run is no longer remembered. */
    dropped: z.number(),
  }),
  z.object({ type: z.literal('refused'), code: z.number(), message: z.string() }),
]);

/** What a command came to; a refusal names a numbered code. @public */
export type CommandOutcome = z.output<typeof outcomeSchema>;

/** @public */
export type DoneOutcome = Extract<CommandOutcome, { type: 'done' }>;

/** Version of the format in which commands are written. */
const COMMAND_VERSION = 2;

const packr = new Packr({ useRecords: false });
const unpackr = new Unpackr({ useRecords: false });

/** @public */
export function encodeCommand(command: Command): Uint8Array {
  return packr.pack({ version: COMMAND_VERSION, command });
}

/** Reads a command of this or an earlier version. @public */
export function decodeCommand(bytes: Uint8Array): Command {
  return commandSchema.parse(migrateCommand(unpackr.unpack(bytes), COMMAND_VERSION));
}

/** @public */
export function encodeOutcome(outcome: CommandOutcome): Uint8Array {
  return packr.pack(outcome);
}

/** @public */
export function decodeOutcome(bytes: Uint8Array): CommandOutcome {
  return outcomeSchema.parse(unpackr.unpack(bytes));
}
