import { z } from 'zod';

/** Names of workspaces, classes, plans, models and services: short and safe in URLs and labels. */
export const nameSchema = z
  .string()
  .regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'expected lower-case letters, digits and hyphens');

/** Lowest tier number is the most important; the plan's size has 7 tiers. */
const MAX_TIER = 9;

/** A request class: latency targets and guarantees. @public */
export const requestClassSchema = z.strictObject({
  /** Target time to the first token, or to the whole answer of a plain service, in milliseconds. */
  firstTokenMs: z.number().int().positive(),
  /** Target time between tokens, in milliseconds. */
  betweenTokensMs: z.number().int().positive().default(58),
  /** Longest time a request may wait before it is dispatched or refused, in milliseconds. */
  maxWaitMs: z.number().int().positive().default(60_000),
  /** Share of the slots that the class gets at least while it has demand, so that it never starves. */
  minimumShare: z.number().min(0).max(0.5).default(0.01),
  /** Worth of one request answered within its targets, in units of money. */
  value: z.number().nonnegative().default(1),
});

/** What a plan may use. @public */
export const planSchema = z.strictObject({
  /** Weight of a workspace of this plan among those of the same tier. */
  share: z.number().positive().default(1),
  /** Request classes the plan may use, each with its tier; tier 1 is the highest. */
  classes: z.record(nameSchema, z.number().int().min(1).max(MAX_TIER)),
  /** Class of a request that names none. */
  defaultClass: nameSchema,
  models: z.array(nameSchema).default([]),
  services: z.array(nameSchema).default([]),
  /** Limit of work per workspace, in tokens a second; no limit when left out. */
  tokensPerSecond: z.number().positive().optional(),
  /** Limit of requests of a workspace that run or wait at a time; no limit when left out. */
  concurrentRequests: z.number().int().positive().optional(),
});

/** HTTP methods that routes may allow. */
export const methodSchema = z.enum(['GET', 'POST', 'PUT', 'PATCH', 'DELETE']);

export type Method = z.output<typeof methodSchema>;

/** A path prefix that leads to a plain service. @public */
export const serviceRouteSchema = z.strictObject({
  path: z.string().regex(/^\/[\w\-/]*$/, 'expected a path that starts with "/"'),
  service: nameSchema,
  methods: z.array(methodSchema).default(['GET', 'POST']),
  /** Whether a call may be repeated without another effect. */
  idempotent: z.boolean(),
});

/** Price and bounds of the endpoints of one data centre. @public */
export const zoneSchema = z.strictObject({
  dataCentre: nameSchema,
  model: nameSchema,
  /** Price of one running endpoint, in units of money an hour. */
  pricePerHour: z.number().nonnegative(),
  minimum: z.number().int().nonnegative().default(0),
  maximum: z.number().int().nonnegative(),
});

/** The list of what each plan may use, with the classes and routes that it names. @public */
export const planListSchema = z.strictObject({
  classes: z.record(nameSchema, requestClassSchema),
  plans: z.record(nameSchema, planSchema),
  routes: z.array(serviceRouteSchema).default([]),
  zones: z.array(zoneSchema).default([]),
});

/** The list of customers' plans. @public */
export const customerListSchema = z.strictObject({
  customers: z.record(nameSchema, z.strictObject({ plan: nameSchema })),
});

/** Both operator lists, as in force under one revision. @public */
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

/** The configuration before an operator has applied any. @public */
export const emptyConfiguration: Configuration = {
  classes: {},
  plans: {},
  routes: [],
  zones: [],
  customers: {},
};
