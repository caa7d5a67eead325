import { asId } from '@berylwood/base';
import { z } from 'zod';

/** Pools in one message. @internal */
export const MAX_ADMISSION_POOLS = 16;

/** Workspaces of a pool that are named in one message; the others are reported together, by rank. @internal */
export const MAX_NAMED = 64;

/** Ranks of a pool in one message. @internal */
export const MAX_RANKS = 16;

/** Name for the workspaces that are reported together; no workspace has an empty name. @internal */
export const REST = '';

const MAX_NAME_LENGTH = 256;

const MAX_RANK = 1_000_000;

const MAX_TOKENS_PER_S = 1e9;

const MAX_WEIGHT = 100_000;

/** Longest excess of a queue, in milliseconds. */
const MAX_EXCESS_MS = 600_000;

const poolSchema = z
  .string()
  .min(1)
  .max(MAX_NAME_LENGTH)
  .transform(asId<'pool'>);

const rankSchema = z.number().int().nonnegative().max(MAX_RANK);

const nameSchema = z.string().max(MAX_NAME_LENGTH);

const rateSchema = z.number().nonnegative().max(MAX_TOKENS_PER_S);

const fractionSchema = z.number().nonnegative().max(1);

/**
 * Rank, workspace, prompt tokens per second of first tries, of returning callers, admitted and served, and the
 * number of workspaces.
 */
const demandSchema = z.tuple([
  rankSchema,
  nameSchema,
  rateSchema,
  rateSchema,
  rateSchema,
  rateSchema,
  z.number().int().positive().max(MAX_WEIGHT),
]);

const poolReportSchema = z.tuple([poolSchema, z.array(demandSchema).max(MAX_NAMED + MAX_RANKS)]);

/** Workspace, fractions of first tries and of returning callers to admit. */
const fractionsSchema = z.tuple([nameSchema, fractionSchema, fractionSchema]);

/** Rank, fractions of workspaces that are not named, and those that are. */
const rankFractionsSchema = z.tuple([
  rankSchema,
  fractionSchema,
  fractionSchema,
  z.array(fractionsSchema).max(MAX_NAMED),
]);

/** Pool, and the time by which the prefill of its queue exceeds the target, in milliseconds. */
const poolUpdateSchema = z.tuple([
  poolSchema,
  z.number().min(-MAX_EXCESS_MS).max(MAX_EXCESS_MS),
  z.array(rankFractionsSchema).max(MAX_RANKS),
]);

/** Missing if an instance attaches only what other parts exchange. @internal */
export const admissionReportSchema = z.object({
  admission: z.array(poolReportSchema).max(MAX_ADMISSION_POOLS).default([]),
});

/** Names the pools with a shortage. @internal */
export const admissionUpdateSchema = z.object({
  admission: z.array(poolUpdateSchema).max(MAX_ADMISSION_POOLS).default([]),
});

/** Demand of one rank and workspace as an instance reports it. @internal */
export type DemandMessage = z.output<typeof demandSchema>;

/** What an instance reports about one pool. @internal */
export type AdmissionReport = z.output<typeof poolReportSchema>;

/** What the leader decides about one pool with a shortage. @internal */
export type AdmissionUpdate = z.output<typeof poolUpdateSchema>;
