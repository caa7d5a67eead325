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
    /** Operator who made the change, recorded in the history. */
    operator: z.string(),
    /** Revision on which the change is based. */
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
  /** A new leader takes the next fencing number. The first command sets the window length. */
  z.object({
    type: z.literal('fence'),
    at,
    replica: z.string(),
    windowMs: z.number().int().positive().optional(),
  }),
  /** Freezes all usage windows that end at or before `endsAt`. */
  z.object({ type: z.literal('closeWindows'), at, endsAt: z.number() }),
  /** The platform has accepted the report of a usage window. */
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
  /** One part of a backup that is restored into a new group. */
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
    /** Feed index after the command; a resend returns that of the first execution. */
    index: z.number(),
    revision: z.number(),
    fence: z.number(),
    /** The key that the change created, on its first execution. */
    key: keyRecordSchema.optional(),
  }),
  z.object({ type: z.literal('claimed'), answer: claimAnswerSchema }),
  /** `mark`: all usage of the sidecar's incarnation up to this sequence number is counted. */
  z.object({
    type: z.literal('metered'),
    mark: z.number(),
    /** Records not counted because the mark of their incarnation is no longer retained. */
    dropped: z.number(),
  }),
  z.object({ type: z.literal('refused'), code: z.number(), message: z.string() }),
]);

/** Outcome of a command; a rejected one has the number of a result code. @public */
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
