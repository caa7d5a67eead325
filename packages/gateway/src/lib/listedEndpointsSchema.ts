import { z } from 'zod';

/** Schema of the endpoint list that the leader publishes to other instances; see `ListedEndpoint`. @internal */
export const listedEndpointsSchema = z.array(
  z.strictObject({
    id: z.string().min(1),
    pool: z.string().min(1),
    address: z.string().min(1),
    dataCentre: z.string(),
    slots: z.number().positive(),
    isDraining: z.boolean(),
  }),
);
