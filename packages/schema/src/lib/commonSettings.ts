import { z } from 'zod';
import { nameSchema } from './nameSchema';

const MAX_PORT = 65_535;

/** An IP address or `localhost` with a port, `HOST:PORT`; the kernel chooses the port if it is 0. */
export const addressSchema = z.string().refine((value) => {
  const match = /^(\[[0-9a-fA-F:]+\]|[0-9.]+|localhost):(\d{1,5})$/.exec(value);
  return match !== null && Number(match[2]) <= MAX_PORT;
}, 'expected IP:PORT');

const processSchema = z.strictObject({
  /** Name of the process in the timeline; unique in the deployment. */
  name: nameSchema,
  instance: nameSchema.default('local'),
  dataCentre: nameSchema.default('local'),
  /** Consensus group to which the process belongs. */
  group: nameSchema.default('default'),
  /** Maximum time of a graceful shutdown before open work is cut off, in milliseconds. */
  shutdownLimitMs: z.number().int().positive().default(120_000),
});

const logSchema = z.strictObject({
  level: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
  /** File for log lines; standard error if omitted. */
  file: z.string().optional(),
  /** Writes log lines to standard output, without ever blocking on a slow reader. */
  output: z.boolean().default(false),
});

/** HTTP listener for /healthz, /readyz, /metrics and /timeline, available in every role. */
const adminSchema = z.strictObject({ listen: addressSchema });

/** Tables that the settings of a process have whichever roles it runs. @internal */
export const commonSettings = {
  process: processSchema,
  log: logSchema.default({ level: 'info', output: false }),
  admin: adminSchema.optional(),
};

/** @public */
export interface CommonSettings {
  readonly process: z.output<typeof processSchema>;
  readonly log: z.output<typeof logSchema>;
  readonly admin?: z.output<typeof adminSchema> | undefined;
}
