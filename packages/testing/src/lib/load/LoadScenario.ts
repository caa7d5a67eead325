import { addressSchema, nameSchema } from '@berylwood/schema';
import { z } from 'zod';

const rate = z.number().positive();
const seconds = z.number().nonnegative();
const tokens = z.number().int().positive();

/** Requests of one class. @public */
export const classLoadSchema = z.strictObject({
  /** Share of the requests, relative to the other classes. */
  weight: rate.default(1),
  /** Model asked for; a class calls a model or a plain service. */
  model: nameSchema.optional(),
  /** Path of a plain service, called with POST and an Idempotency-Key. */
  path: z.string().startsWith('/').optional(),
  promptTokens: tokens.default(200),
  /** Leading part of the prompt that requests share. */
  prefixTokens: z.number().int().nonnegative().default(0),
  /** Different shared prefixes of each workspace. */
  prefixes: z.number().int().positive().default(1),
  /** Median of the answer lengths, which are log-normal. */
  answerTokens: tokens.default(40),
  /** Standard deviation of the logarithm of the answer lengths. */
  answerSigma: z.number().nonnegative().default(0.5),
  maxAnswerTokens: tokens.default(1000),
  stream: z.boolean().default(true),
});

/** A time in which a part of the load is multiplied. @public */
export const burstSchema = z.strictObject({
  fromS: seconds,
  toS: seconds,
  factor: z.number().nonnegative(),
  /** Only this class, or only this workspace; all when left out. */
  class: nameSchema.optional(),
  workspace: nameSchema.optional(),
});

/** A load to put on a deployment. @public */
export const loadScenarioSchema = z.strictObject({
  load: z.strictObject({
    name: nameSchema,
    seed: z.number().int().default(1),
    durationS: rate,
    /** Mean rate outside of bursts, over all workspaces and classes. */
    requestsPerSecond: rate,
    /** Addresses of the entries; requests take them in turn. */
    entries: z.array(addressSchema).min(1),
    /** Operator lists in force, for targets, tiers and shares. */
    plans: z.string().min(1),
    customers: z.string().min(1),
    /** JSON file with the key of each workspace. */
    keys: z.string().min(1),
    /** Time after which a caller gives up, in seconds. */
    giveUpS: rate.default(60),
  }),
  workspaces: z.array(z.strictObject({ name: nameSchema, weight: rate.default(1) })).min(1),
  classes: z.record(
    nameSchema,
    classLoadSchema.refine(
      ({ model, path }) => (model === undefined) !== (path === undefined),
      'expected either "model" or "path"',
    ),
  ),
  bursts: z.array(burstSchema).default([]),
  /** Endpoints whose load reports are read for running endpoints, cost and waste. */
  endpoints: z
    .array(z.strictObject({ address: addressSchema, pricePerHour: z.number().nonnegative() }))
    .default([]),
});

export type ClassLoad = z.output<typeof classLoadSchema>;
export type Burst = z.output<typeof burstSchema>;
export type LoadScenario = z.output<typeof loadScenarioSchema>;
