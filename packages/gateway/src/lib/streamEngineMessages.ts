import { asId } from '@berylwood/base';
import { z } from 'zod';

/** Pools in one message. @internal */
export const MAX_POOLS = 64;

const MAX_NAME_LENGTH = 256;

const MAX_ENGINES = 100_000;

const MAX_RUNNING = 10_000_000;

const MAX_TOKENS_PER_S = 1e9;

/** Longest duration of an event or pause, in milliseconds. */
const MAX_MS = 600_000;

const MAX_WEIGHT = 1e9;

const poolSchema = z
  .string()
  .min(1)
  .max(MAX_NAME_LENGTH)
  .transform(asId<'pool'>);

const tokensPerSchema = z.number().nonnegative().max(MAX_TOKENS_PER_S);

/** An estimate, null if there is none, and the number of observations behind it. */
const estimateSchema = z.tuple([
  z.number().positive().max(MAX_MS).nullable(),
  z.number().nonnegative().max(MAX_WEIGHT),
]);

/**
 * Pool, running tight streams, prompt tokens per second of tight streams and of other requests, duration of an
 * event while the engine prefills in milliseconds, and time of prefill for a token in microseconds.
 */
const poolReportSchema = z.tuple([
  poolSchema,
  z.number().int().nonnegative().max(MAX_RUNNING),
  tokensPerSchema,
  tokensPerSchema,
  estimateSchema,
  estimateSchema,
]);

/**
 * Pool, number of stream engines, longest tight pause and duration of an event while the engine prefills (null
 * until learnt) in milliseconds, and time of prefill for a token in microseconds.
 */
const splitSchema = z.tuple([
  poolSchema,
  z.number().int().nonnegative().max(MAX_ENGINES),
  z.number().nonnegative().max(MAX_MS),
  z.number().positive().max(MAX_MS).nullable(),
  z.number().positive().max(MAX_MS),
]);

/** Missing if an instance attaches only what other parts exchange. @internal */
export const streamReportSchema = z.object({
  streamEngines: z.array(poolReportSchema).max(MAX_POOLS).default([]),
});

/** @internal */
export const streamUpdateSchema = z.object({
  streamEngines: z.array(splitSchema).max(MAX_POOLS).default([]),
});

/** What an instance reports about one pool. @internal */
export type PoolReport = z.output<typeof poolReportSchema>;

/** What the leader decides about one pool. @internal */
export type SplitMessage = z.output<typeof splitSchema>;
