import { z } from 'zod';
import { idSchema } from './AttemptMessage';
import { nameSchema } from './Configuration';
import type { DataCentreId, EndpointId, IncarnationId } from './ids';

const endpoint = idSchema<EndpointId>();

/** What the platform's ordering interface is asked for. @public */
export const platformActionSchema = z.discriminatedUnion('type', [
  z.object({
    type: z.literal('start'),
    dataCentre: idSchema<DataCentreId>(),
    model: nameSchema,
  }),
  /** The incarnation names the run of the sidecar that is meant; a later run is not stopped. */
  z.object({
    type: z.literal('stop'),
    endpoint,
    incarnation: idSchema<IncarnationId>().optional(),
  }),
]);

/** What an engine is asked for, by way of its sidecar. @public */
export const endpointActionSchema = z.discriminatedUnion('type', [
  z.object({
    type: z.literal('load'),
    endpoint,
    kind: z.enum(['model', 'adapter', 'version']),
    name: z.string().min(1).max(255),
  }),
  z.object({ type: z.literal('role'), endpoint, role: z.string().min(1).max(63) }),
]);

/** Any order of the control group. @public */
export const orderActionSchema = z.union([platformActionSchema, endpointActionSchema]);

/** One instance as the platform's list shows it. @public */
export const platformInstanceSchema = z.object({
  endpoint,
  instance: z.string(),
  dataCentre: idSchema<DataCentreId>(),
  state: z.enum(['live', 'leaving']),
});

/** The platform's lagging list of instances. @public */
export const platformListSchema = z.object({ instances: z.array(platformInstanceSchema) });

export type PlatformAction = z.output<typeof platformActionSchema>;
export type EndpointAction = z.output<typeof endpointActionSchema>;
export type OrderAction = z.output<typeof orderActionSchema>;
export type PlatformInstance = z.output<typeof platformInstanceSchema>;
