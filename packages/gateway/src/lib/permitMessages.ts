import { z } from 'zod';
import { STATEMENT_KINDS } from './EndpointStatements';

/** Endpoints in one message. @internal */
export const MAX_ENDPOINTS = 256;

/** Permits of one endpoint in one message. */
const MAX_PERMITS = 10_000;

/** Ranks for which one message has a demand. */
const MAX_RANKS = 256;

const MAX_KEY_LENGTH = 512;

const keySchema = z.string().max(MAX_KEY_LENGTH);

/** Times are sent as ages, since the clocks of instances differ. */
const ageSchema = z.number().nonnegative();

/**
 * Endpoint, kind of statement, its value (null at the end of a restriction), ages of the request and of its
 * response.
 */
const statementSchema = z.tuple([
  keySchema,
  z.enum(STATEMENT_KINDS),
  z.number().nonnegative().nullable(),
  ageSchema,
  ageSchema,
]);

/** Missing if an instance attaches only what other parts exchange. */
const statementsSchema = z
  .array(statementSchema)
  .max(2 * STATEMENT_KINDS.length * MAX_ENDPOINTS)
  .default([]);

/** Endpoint, wanted permits by rank, and expired permits that are returned. */
const demandSchema = z.tuple([
  keySchema,
  z.array(z.number().nonnegative()).max(MAX_RANKS),
  z.number().int().nonnegative().max(MAX_PERMITS),
]);

/** Endpoint and the number of permits. */
const grantSchema = z.tuple([keySchema, z.number().int().nonnegative().max(MAX_PERMITS)]);

/** Endpoint and the time for which it counts as cold, in milliseconds; earlier versions attach none. */
const coldSchema = z
  .array(z.tuple([keySchema, z.number().nonnegative()]))
  .max(MAX_ENDPOINTS)
  .default([]);

/** @internal */
export const permitReportSchema = z.object({
  statements: statementsSchema,
  demands: z.array(demandSchema).max(MAX_ENDPOINTS).default([]),
  cold: coldSchema,
});

/** @internal */
export const permitUpdateSchema = z.object({
  statements: statementsSchema,
  grants: z.array(grantSchema).max(MAX_ENDPOINTS).default([]),
  cold: coldSchema,
});

/** @internal */
export type SharedStatement = z.output<typeof statementSchema>;

/** What an instance reports to the leader. @internal */
export type PermitReport = z.output<typeof permitReportSchema>;

/** What the leader sends to an instance. @internal */
export type PermitUpdate = z.output<typeof permitUpdateSchema>;
