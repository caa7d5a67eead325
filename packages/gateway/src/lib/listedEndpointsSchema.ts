import { z } from 'zod';

/** The list of endpoints as instances tell it to each other; see `ListedEndpoint`. @internal */
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
