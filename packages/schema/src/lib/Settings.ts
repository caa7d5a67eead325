import { z } from 'zod';
import { nameSchema } from './Configuration';
import { gatewaySettingsSchema } from './GatewaySettings';

const MAX_PORT = 65_535;

/** An IP address with a port, `HOST:PORT`; port 0 lets the kernel choose. */
export const addressSchema = z.string().refine((value) => {
  const match = /^(\[[0-9a-fA-F:]+\]|[0-9.]+|localhost):(\d{1,5})$/.exec(value);
  return match !== null && Number(match[2]) <= MAX_PORT;
}, 'expected IP:PORT');

const processSchema = z.strictObject({
  /** Name of the process on the time line; unique in the deployment. */
  name: nameSchema,
  instance: nameSchema.default('local'),
  dataCentre: nameSchema.default('local'),
  /** The consensus group that the process belongs to. */
  group: nameSchema.default('default'),
  /** Longest graceful shutdown before what is left is cut, in milliseconds. */
  shutdownLimitMs: z.number().int().positive().default(120_000),
});

const logSchema = z.strictObject({
  level: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
  /** File for log lines; standard error when left out. */
  file: z.string().optional(),
  /** Writes log lines to standard output, without ever waiting for its reader. */
  output: z.boolean().default(false),
});

const certificateSchema = z.strictObject({ certificate: z.string(), key: z.string() });

const tlsSchema = z.strictObject({
  /** Certificate shown to callers; the files are read again when they change. */
  callers: certificateSchema.optional(),
  /** Mutual TLS between the processes of the system. */
  peers: certificateSchema.extend({ authority: z.string() }).optional(),
});

/** HTTP listener of any role for /healthz, /readyz, /metrics and /timeline. */
const adminSchema = z.strictObject({ listen: addressSchema });

const entrySchema = z.strictObject({
  /** Listener for callers. */
  listen: addressSchema,
  /** Addresses of the control replicas, or of observers in front of them. */
  control: z.array(addressSchema).min(1),
  maxBodyBytes: z
    .number()
    .int()
    .positive()
    .default(4 * 1024 * 1024),
  /** Time for the headers of a request to arrive, in milliseconds. */
  headersTimeoutMs: z.number().int().positive().default(10_000),
  /** Time for a whole request to arrive, in milliseconds. */
  bodyTimeoutMs: z.number().int().positive().default(30_000),
  maxConnections: z.number().int().positive().default(20_000),
  /** Requests that wait or run at a time. */
  maxRequests: z.number().int().positive().default(20_000),
  /** Time that the balancer needs to notice an unready entry, in milliseconds. */
  balancerNoticeMs: z.number().int().nonnegative().default(2_000),
  /** Scheduler by name; the baselines serve comparisons. */
  scheduler: z.enum(['fair', 'round-robin', 'least-load']).default('fair'),
});

const replicaSchema = z.strictObject({ replica: nameSchema, address: addressSchema });

const controlSchema = z.strictObject({
  replica: nameSchema,
  /** Folder of the log and the snapshots. */
  data: z.string().min(1),
  /** Listener for the other processes of the system. */
  listen: addressSchema,
  /** Address that other replicas use, when it differs from the listener. */
  announce: addressSchema.optional(),
  /** Listener for operators' commands. */
  operator: addressSchema,
  /** Founding voters with this one; only the first start of an empty group reads them. */
  voters: z.array(replicaSchema).default([]),
  /** Join a running group as a learner instead of founding one. */
  join: z.boolean().default(false),
  /** Addresses of the platform's interfaces; no orders and reports when left out. */
  platform: addressSchema.optional(),
  /** Length of a usage window, in milliseconds. */
  usageWindowMs: z.number().int().positive().default(60_000),
  /** Lists applied when the group has no configuration yet, for a first start. */
  plans: z.string().optional(),
  customers: z.string().optional(),
  /** Key given to the first workspace on a first start; for examples and tests only. */
  demoKey: z.string().min(16).optional(),
});

/** Read-only replica between a data centre's nodes and the control group. */
const observerSchema = z.strictObject({
  /** Listener for entries and sidecars. */
  listen: addressSchema,
  /** Addresses of the control replicas. */
  control: z.array(addressSchema).min(1),
});

const sidecarSchema = z.strictObject({
  /** Listener for entries. */
  listen: addressSchema,
  /** Address that entries use, when it differs from the listener. */
  announce: addressSchema.optional(),
  control: z.array(addressSchema).min(1),
  endpoint: nameSchema,
  kind: z.enum(['engine', 'service']),
  /** Address of the endpoint itself. */
  address: addressSchema,
  models: z.array(nameSchema).default([]),
  service: nameSchema.optional(),
  /** Requests handed to the endpoint at a time. */
  slots: z.number().int().positive().default(8),
  /** Requests held in the sidecar's own queue. */
  queue: z.number().int().nonnegative().default(64),
});

/** Share of events that a fault hits, from 0 to 1. */
const fractionSchema = z.number().min(0).max(1);

const standInSchema = z.strictObject({
  kind: z.enum(['engine', 'service', 'platform']),
  listen: addressSchema,
  name: nameSchema.default('stand-in'),
  models: z.array(nameSchema).default([]),
  slots: z.number().int().positive().default(8),
  /** Tokens of a prompt read a second. */
  prefillRate: z.number().positive().default(8_000),
  /** Tokens generated a second for each stream. */
  decodeRate: z.number().positive().default(40),
  /** Slowdown of each stream by each further one that runs. */
  batchSlowdown: z.number().nonnegative().optional(),
  /** Blocks of 64 tokens that the prefix cache holds. */
  cacheBlocks: z.number().int().nonnegative().optional(),
  /** Time until a cache event can be read, in milliseconds. */
  cacheEventDelayMs: z.number().nonnegative().optional(),
  cacheEventLoss: fractionSchema.optional(),
  /** Age of the figures in load reports, in milliseconds. */
  loadLagMs: z.number().nonnegative().optional(),
  /** Whether an engine or the platform refuses orders with an old fencing number. */
  checksFence: z.boolean().optional(),
  /** A prompt with this text ends the engine's process. */
  crashMark: z.string().min(1).optional(),
  /** Time that a call of a plain service takes, in milliseconds. */
  delayMs: z.number().nonnegative().optional(),
  /** Longest delay of the platform's answers, in milliseconds. */
  answerDelayMs: z.number().nonnegative().optional(),
  answerLoss: fractionSchema.optional(),
  orderRepeat: fractionSchema.optional(),
  /** Lag of the platform's list of instances, in milliseconds. */
  listLagMs: z.number().nonnegative().optional(),
  /** Rate of the platform's weight store, in bytes a second. */
  weightBytesPerSecond: z.number().positive().optional(),
  /** File that the history is appended to as JSON lines. */
  history: z.string().min(1).optional(),
  seed: z.number().int().optional(),
});

/** Settings of one process: the roles whose tables are present run in it. @public */
export const settingsSchema = z.strictObject({
  process: processSchema,
  log: logSchema.default({ level: 'info', output: false }),
  admin: adminSchema.optional(),
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
