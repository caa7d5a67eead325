import { z } from 'zod';

/** Engines in one message. @internal */
export const MAX_ENGINES = 64;

const MAX_KEY_LENGTH = 512;

/**
 * Largest weight of the sums in one message, far above that of all instances for one engine in a half-life,
 * and largest logarithm of one observation: a factor of 20,000, the longest time in milliseconds.
 */
const MAX_WEIGHT = 1e6;
const MAX_LOG = 10;

/** Tolerance of the bounds, since numbers are rounded before they are sent. */
const ROUNDING = 0.01;

/** Weight, sum and sum of squares of logarithms, which no observations exceed and which fit together. */
const sumsSchema = z
  .tuple([z.number().min(0).max(MAX_WEIGHT), z.number(), z.number().min(0)])
  .refine(
    ([weight, sum, squares]) =>
      Math.abs(sum) <= weight * MAX_LOG + ROUNDING &&
      squares <= weight * MAX_LOG ** 2 + ROUNDING &&
      sum ** 2 <= (weight + ROUNDING) * (squares + ROUNDING) + ROUNDING,
    'sums of logarithms that do not fit together',
  );

/** Key of an endpoint, and its sums in the order of `OBSERVATION_KINDS`. */
const engineSchema = z.tuple([
  z.string().max(MAX_KEY_LENGTH),
  z.tuple([sumsSchema, sumsSchema, sumsSchema]),
]);

/** Observations of engines; missing if an instance attaches only what other parts exchange. @internal */
export const engineSpeedsSchema = z.object({
  engineSpeeds: z.array(engineSchema).max(MAX_ENGINES).default([]),
});

/** What instances and the leader exchange about engines. @internal */
export type EngineSpeeds = z.output<typeof engineSpeedsSchema>;
