import { z } from 'zod';
import { commonSettings } from './commonSettings';

const addressSchema = z.string().regex(/^[0-9.]+:\d{1,5}$/, 'expected IP:PORT');

const MAX_PORT = 65_535;

/** Table `[gateway]` of the settings. @public */
export const gatewaySettingsSchema = z.strictObject({
  /** Name of the instance, also as the holder of a duty. */
  instance: z.string().min(1),
  /** IP address of the instance. */
  ip: z.string().regex(/^[0-9.]+$/, 'expected an IP address'),
  dataCentre: z.string().min(1),
  /** Listener for callers. */
  callers: addressSchema,
  /** Listener for the load balancer's readiness check. */
  readiness: addressSchema,
  /** Listener for operators; none if omitted. */
  operators: addressSchema.optional(),
  /** Bandwidth of the machine's network link in Mbit/s; unknown if omitted. */
  linkMbps: z.number().positive().optional(),
  /** Port for links between instances, the same on all instances. */
  meshPort: z.number().int().nonnegative().max(MAX_PORT),
  /** Addresses of the instances to contact first; only their IP addresses are used. */
  seeds: z.array(addressSchema).default([]),
  /** Whether the seeds bootstrap the registry: true only for the very first start. */
  bootstrap: z.boolean().default(false),
  /** Directory of the registry's replica; omitted on an instance without a disk. */
  data: z.string().optional(),
  /** Number of replicas that may be lost at the same time. */
  tolerance: z.number().int().nonnegative().default(1),
  /** Address of the platform; if omitted, no list is read and no reports are sent. */
  platform: addressSchema.optional(),
  /** Calls per second that the platform accepts from all instances together. */
  platformCallsPerS: z.number().positive().default(10),
  /** Length of a usage window in seconds; if omitted, no usage is reported. */
  usageWindowS: z.number().positive().optional(),
  /** Time from SIGTERM to SIGKILL, in seconds. */
  graceS: z.number().positive().default(30),
  /** Retries as a fraction of the requests, over all instances. */
  repeatRatio: z.number().nonnegative().default(0.2),
  /** Retries allowed beyond that fraction in a window, over all instances. */
  repeatSlack: z.number().nonnegative().default(20),
  /** Time before a new leader takes over the duties of the previous one, in milliseconds. */
  dutyPauseMs: z.number().nonnegative().default(3000),
  /** Whether requests to an endpoint that has just started or answers again are paced by its answers. */
  paceAfterStart: z.boolean().default(false),

  /** Bytes of bodies held for callers and operators; by the limits of the process's memory if omitted. */
  bodyBudgetBytes: z.number().int().positive().optional(),
  /** Requests that have not arrived completely; by memory and descriptors if omitted. */
  maxUnfinishedBodies: z.number().int().positive().optional(),

  /** Whether workspaces get fair shares of the prefill capacity of a pool during a shortage. */
  fairAdmission: z.boolean().default(false),
});

/** @public */
export type GatewaySettings = z.output<typeof gatewaySettingsSchema>;

/** Settings of a process that runs only the gateway role. @public */
export const gatewayProcessSchema = z.strictObject({
  ...commonSettings,
  gateway: gatewaySettingsSchema,
});

/** @public */
export type GatewayProcessSettings = z.output<typeof gatewayProcessSchema>;
