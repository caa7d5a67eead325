import { z } from 'zod';

const addressSchema = z.string().regex(/^[0-9.]+:\d{1,5}$/, 'expected IP:PORT');

const MAX_PORT = 65_535;

/** Table `[gateway]` of the settings. @public */
export const gatewaySettingsSchema = z.strictObject({
  /** Name of the instance, also as holder of duties. */
  instance: z.string().min(1),
  /** IP address of the instance. */
  ip: z.string().regex(/^[0-9.]+$/, 'expected an IP address'),
  dataCentre: z.string().min(1),
  /** Listener for callers. */
  callers: addressSchema,
  /** Listener for the balancer's question whether the instance is ready. */
  readiness: addressSchema,
  /** Listener for operators; none if left out. */
  operators: addressSchema.optional(),
  /** Port of this instance, and of all others, for links between instances. */
  meshPort: z.number().int().nonnegative().max(MAX_PORT),
  /** Addresses of instances to ask first; only their IP addresses are used. */
  seeds: z.array(addressSchema).default([]),
  /** Whether the seeds found the registry: true only for the very first start. */
  bootstrap: z.boolean().default(false),
  /** Folder of the registry's replica; none without a disk. */
  data: z.string().optional(),
  /** Replicas that may be lost at the same time. */
  tolerance: z.number().int().nonnegative().default(1),
  /** Address of the platform; no list and no reports if left out. */
  platform: addressSchema.optional(),
  /** Calls a second that the platform takes from all instances. */
  platformCallsPerS: z.number().positive().default(10),
  /** Length of a usage window in seconds; no usage is reported if left out. */
  usageWindowS: z.number().positive().optional(),
  /** Time from the SIGTERM to the SIGKILL, in seconds. */
  graceS: z.number().positive().default(30),
  /** Repeats as a share of the requests, over all instances. */
  repeatRatio: z.number().nonnegative().default(0.2),
  /** Repeats beyond that share in a window, over all instances. */
  repeatSlack: z.number().nonnegative().default(20),
  /** Time for which a new leader leaves the duties of the one before alone, in milliseconds. */
  dutyPauseMs: z.number().nonnegative().default(3000),
});

/** @public */
export type GatewaySettings = z.output<typeof gatewaySettingsSchema>;
