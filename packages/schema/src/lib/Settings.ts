import { z } from 'zod';
import { gatewaySettingsSchema } from './GatewaySettings';
import { nameSchema } from './nameSchema';
import { addressSchema, commonSettings } from './commonSettings';

const certificateSchema = z.strictObject({ certificate: z.string(), key: z.string() });

const tlsSchema = z.strictObject({
  /** Server certificate for callers; the files are reloaded when they change. */
  callers: certificateSchema.optional(),
  /** Certificate and authority for mutual TLS between the processes of the system. */
  peers: certificateSchema.extend({ authority: z.string() }).optional(),
});

const entrySchema = z.strictObject({
  /** Listener for callers. */
  listen: addressSchema,
  /** Addresses of the control replicas, or of observers that relay to them. */
  control: z.array(addressSchema).min(1),
  maxBodyBytes: z
    .number()
    .int()
    .positive()
    .default(4 * 1024 * 1024),
  /** Time-out for receiving the headers of a request, in milliseconds. */
  headersTimeoutMs: z.number().int().positive().default(10_000),
  /** Time-out for receiving a complete request, in milliseconds. */
  bodyTimeoutMs: z.number().int().positive().default(30_000),
  /** Bytes of bodies held for callers; by the limits of the process's memory if omitted. */
  bodyBudgetBytes: z.number().int().positive().optional(),
  /** Requests that have not arrived completely; by memory and descriptors if omitted. */
  maxUnfinishedBodies: z.number().int().positive().optional(),
  maxConnections: z.number().int().positive().default(20_000),
  /** Maximum number of waiting and running requests. */
  maxRequests: z.number().int().positive().default(20_000),
  /** Time that the load balancer needs to detect an unready entry, in milliseconds. */
  balancerNoticeMs: z.number().int().nonnegative().default(2_000),
  /** Scheduler; all but `fair` are baselines for comparison. */
  scheduler: z.enum(['fair', 'round-robin', 'least-load']).default('fair'),
});

const replicaSchema = z.strictObject({ replica: nameSchema, address: addressSchema });

const controlSchema = z.strictObject({
  replica: nameSchema,
  /** Directory of the log and the snapshots. */
  data: z.string().min(1),
  /** Listener for the other processes of the system. */
  listen: addressSchema,
  /** Address at which other replicas connect, if it differs from `listen`. */
  announce: addressSchema.optional(),
  /** Listener for operator commands. */
  operator: addressSchema,
  /** Other initial voters; read only when an empty group is bootstrapped. */
  voters: z.array(replicaSchema).default([]),
  /** Joins a running group as a learner instead of bootstrapping a new one. */
  join: z.boolean().default(false),
  /** Address of the platform's interfaces; if omitted, no orders or reports are sent. */
  platform: addressSchema.optional(),
  /** Length of a usage window, in milliseconds. */
  usageWindowMs: z.number().int().positive().default(60_000),
  /** Files of the operator lists that are applied if the group has no configuration yet. */
  plans: z.string().optional(),
  customers: z.string().optional(),
  /** API key created for the first workspace on a first start; for examples and tests only. */
  demoKey: z.string().min(16).optional(),
});

/** Read-only replica that relays between the nodes of a data centre and the control group. */
const observerSchema = z.strictObject({
  /** Listener for entries and sidecars. */
  listen: addressSchema,
  /** Addresses of the control replicas. */
  control: z.array(addressSchema).min(1),
});

const sidecarSchema = z.strictObject({
  /** Listener for entries. */
  listen: addressSchema,
  /** Address at which entries connect, if it differs from `listen`. */
  announce: addressSchema.optional(),
  control: z.array(addressSchema).min(1),
  endpoint: nameSchema,
  kind: z.enum(['engine', 'service']),
  /** Address of the endpoint itself. */
  address: addressSchema,
  models: z.array(nameSchema).default([]),
  service: nameSchema.optional(),
  /** Maximum number of requests forwarded to the endpoint at the same time. */
  slots: z.number().int().positive().default(8),
  /** Maximum number of requests in the sidecar's queue. */
  queue: z.number().int().nonnegative().default(64),
});

/** Fraction of events affected by an injected fault, from 0 to 1. */
const fractionSchema = z.number().min(0).max(1);

const standInSchema = z.strictObject({
  kind: z.enum(['engine', 'service', 'platform']),
  listen: addressSchema,
  name: nameSchema.default('stand-in'),
  models: z.array(nameSchema).default([]),
  slots: z.number().int().positive().default(8),
  /** Prefill rate, in prompt tokens per second. */
  prefillRate: z.number().positive().default(8_000),
  /** Tokens generated per second for each stream. */
  decodeRate: z.number().positive().default(40),
  /** Slowdown of each stream for each other stream that runs. */
  batchSlowdown: z.number().nonnegative().optional(),
  /** Capacity of the prefix cache, in blocks of 64 tokens. */
  cacheBlocks: z.number().int().nonnegative().optional(),
  /** Delay before a cache event becomes readable, in milliseconds. */
  cacheEventDelayMs: z.number().nonnegative().optional(),
  cacheEventLoss: fractionSchema.optional(),
  /** Age of the measurements in load reports, in milliseconds. */
  loadLagMs: z.number().nonnegative().optional(),
  /** Whether an engine or the platform rejects orders with an outdated fencing number. */
  checksFence: z.boolean().optional(),
  /** A prompt that contains this text ends the engine's process. */
  crashMark: z.string().min(1).optional(),
  /** Duration of a call of a plain service, in milliseconds. */
  delayMs: z.number().nonnegative().optional(),
  /** Maximum delay of the platform's responses, in milliseconds. */
  answerDelayMs: z.number().nonnegative().optional(),
  answerLoss: fractionSchema.optional(),
  orderRepeat: fractionSchema.optional(),
  /** Lag of the platform's list of instances, in milliseconds. */
  listLagMs: z.number().nonnegative().optional(),
  /** Throughput of the platform's model weight store, in bytes per second. */
  weightBytesPerSecond: z.number().positive().optional(),
  /** File to which the history is appended as JSON lines. */
  history: z.string().min(1).optional(),
  seed: z.number().int().optional(),
});

/** Settings of one process. The process runs each role whose table is present. @public */
export const settingsSchema = z.strictObject({
  ...commonSettings,
  tls: tlsSchema.optional(),
  gateway: gatewaySettingsSchema.optional(),
  entry: entrySchema.optional(),
  control: controlSchema.optional(),
  observer: observerSchema.optional(),
  sidecars: z.array(sidecarSchema).default([]),
  standIns: z.array(standInSchema).default([]),
});

export type Settings = z.output<typeof settingsSchema>;
export type ProcessSettings = Settings['process'];
export type EntrySettings = NonNullable<Settings['entry']>;
export type ControlSettings = NonNullable<Settings['control']>;
export type ObserverSettings = NonNullable<Settings['observer']>;
export type SidecarSettings = Settings['sidecars'][number];
export type StandInSettings = Settings['standIns'][number];
export type TlsSettings = NonNullable<Settings['tls']>;
