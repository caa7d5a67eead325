import { z } from 'zod';
import { idSchema } from './AttemptMessage';
import { nameSchema } from './nameSchema';
import type { DataCentreId, EndpointId, IncarnationId } from './ids';

const endpoint = idSchema<EndpointId>();

/** Action of an order to the platform. @public */
export const platformActionSchema = z.discriminatedUnion('type', [
  z.object({
    type: z.literal('start'),
    dataCentre: idSchema<DataCentreId>(),
    model: nameSchema,
  }),
  /** If an incarnation of the sidecar is given, a later incarnation is not stopped. */
  z.object({
    type: z.literal('stop'),
    endpoint,
    incarnation: idSchema<IncarnationId>().optional(),
  }),
]);

/** Action of an order to an engine, delivered by its sidecar. @public */
export const endpointActionSchema = z.discriminatedUnion('type', [
  z.object({
    type: z.literal('load'),
    endpoint,
    kind: z.enum(['model', 'adapter', 'version']),
    name: z.string().min(1).max(255),
  }),
  z.object({ type: z.literal('role'), endpoint, role: z.string().min(1).max(63) }),
]);

/** Action of any order of the control group. @public */
export const orderActionSchema = z.union([platformActionSchema, endpointActionSchema]);

/** One item of the platform's list of instances. @public */
export const platformInstanceSchema = z.object({
  endpoint,
  instance: z.string(),
  dataCentre: idSchema<DataCentreId>(),
  state: z.enum(['live', 'leaving']),
});

/** The platform's list of instances. It lags behind the actual state. @public */
export const platformListSchema = z.object({ instances: z.array(platformInstanceSchema) });

export type PlatformAction = z.output<typeof platformActionSchema>;
export type EndpointAction = z.output<typeof endpointActionSchema>;
export type OrderAction = z.output<typeof orderActionSchema>;
export type PlatformInstance = z.output<typeof platformInstanceSchema>;
