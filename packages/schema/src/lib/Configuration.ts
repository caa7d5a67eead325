import { z } from 'zod';
import { nameSchema } from './nameSchema';

/** Highest tier number. Tier 1 is the most important; the planned deployment has 7 tiers. */
const MAX_TIER = 9;

/** A request class: latency targets and guarantees. @public */
export const requestClassSchema = z.strictObject({
  /** Target time to first token, or to the complete response of a plain service, in milliseconds. */
  firstTokenMs: z.number().int().positive(),
  /** Target time between tokens, in milliseconds. */
  betweenTokensMs: z.number().int().positive().default(58),
  /** Maximum wait of a request before it is dispatched or rejected, in milliseconds. */
  maxWaitMs: z.number().int().positive().default(60_000),
  /** Guaranteed minimum share of the slots while the class has demand; prevents starvation. */
  minimumShare: z.number().min(0).max(0.5).default(0.01),
  /** Value of one request served within its targets, in units of money. */
  value: z.number().nonnegative().default(1),
});

/** Classes, models, services and limits of a plan. @public */
export const planSchema = z.strictObject({
  /** Weight of a workspace of this plan among those of the same tier. */
  share: z.number().positive().default(1),
  /** Request classes the plan may use, each with its tier; tier 1 is the highest. */
  classes: z.record(nameSchema, z.number().int().min(1).max(MAX_TIER)),
  /** Class of requests that do not specify one. */
  defaultClass: nameSchema,
  models: z.array(nameSchema).default([]),
  services: z.array(nameSchema).default([]),
  /** Work limit of each workspace, in tokens per second; unlimited if omitted. */
  tokensPerSecond: z.number().positive().optional(),
  /** Maximum running and waiting requests of each workspace; unlimited if omitted. */
  concurrentRequests: z.number().int().positive().optional(),
});

/** HTTP methods that routes may allow. */
export const methodSchema = z.enum(['GET', 'POST', 'PUT', 'PATCH', 'DELETE']);

export type Method = z.output<typeof methodSchema>;

/** Routes a path prefix to a plain service. @public */
export const serviceRouteSchema = z.strictObject({
  path: z.string().regex(/^\/[\w\-/]*$/, 'expected a path that starts with "/"'),
  service: nameSchema,
  methods: z.array(methodSchema).default(['GET', 'POST']),
  /** Whether repeating a call has no further effect. */
  idempotent: z.boolean(),
});

/** Price and number limits of the endpoints of one model in one data centre. @public */
export const zoneSchema = z.strictObject({
  dataCentre: nameSchema,
  model: nameSchema,
  /** Price of one running endpoint, in units of money per hour. */
  pricePerHour: z.number().nonnegative(),
  minimum: z.number().int().nonnegative().default(0),
  maximum: z.number().int().nonnegative(),
});

/** Operator list of the plans, with request classes, service routes and zones. @public */
export const planListSchema = z.strictObject({
  classes: z.record(nameSchema, requestClassSchema),
  plans: z.record(nameSchema, planSchema),
  routes: z.array(serviceRouteSchema).default([]),
  zones: z.array(zoneSchema).default([]),
});

/** Operator list of the customers, each with its plan. @public */
export const customerListSchema = z.strictObject({
  customers: z.record(nameSchema, z.strictObject({ plan: nameSchema })),
});

/** Both operator lists, combined under one revision. @public */
export const configurationSchema = z.strictObject({
  ...planListSchema.shape,
  ...customerListSchema.shape,
});

export type RequestClass = z.output<typeof requestClassSchema>;
export type Plan = z.output<typeof planSchema>;
export type ServiceRoute = z.output<typeof serviceRouteSchema>;
export type Zone = z.output<typeof zoneSchema>;
export type PlanList = z.output<typeof planListSchema>;
export type CustomerList = z.output<typeof customerListSchema>;
export type Configuration = z.output<typeof configurationSchema>;

/** Configuration in force until an operator applies one. @public */
export const emptyConfiguration: Configuration = {
  classes: {},
  plans: {},
  routes: [],
  zones: [],
  customers: {},
};
