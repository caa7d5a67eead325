import { z } from 'zod';

/** Recoveries in one message. @internal */
export const MAX_RECOVERIES = 64;

const MAX_KEY_LENGTH = 512;

/** Largest count that is believed. */
const MAX_COUNT = 1e9;

const keySchema = z.string().max(MAX_KEY_LENGTH);
const countSchema = z.number().nonnegative().max(MAX_COUNT);

/**
 * Endpoint, age of the recovery in milliseconds, first events in time, late ones, failed requests, requests in
 * flight, and requests wanted beyond the allotment.
 */
const reportSchema = z.tuple([
  keySchema,
  z.number().nonnegative(),
  countSchema,
  countSchema,
  countSchema,
  countSchema,
  countSchema,
]);

/**
 * Endpoint, window of all instances, allotment of this one, whether a first event has come in time, why the recovery has ended, if it has, and how long
 * ago in milliseconds.
 */
const updateSchema = z.tuple([
  keySchema,
  countSchema,
  countSchema,
  z.boolean(),
  z.enum(['slots', 'demand', 'failed', 'time']).nullable(),
  z.number().nonnegative(),
]);

/** What an instance reports to the leader; missing if it has noticed no recovery. @internal */
export const paceReportSchema = z.object({
  pace: z.array(reportSchema).max(MAX_RECOVERIES).default([]),
});

/** @internal */
export const paceUpdateSchema = z.object({
  pace: z.array(updateSchema).max(MAX_RECOVERIES).default([]),
});

/** @internal */
export type PaceReport = z.output<typeof paceReportSchema>;

/** @internal */
export type PaceUpdate = z.output<typeof paceUpdateSchema>;
