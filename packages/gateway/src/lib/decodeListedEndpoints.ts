import { asId } from '@berylwood/base';
import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';
import { addressSchema, endpointIdSchema, softwareVersionSchema } from './endpointSchemas';
import type { EndpointListPage } from './Wire';

const entrySchema = z.object({
  id: endpointIdSchema,
  pool: z
    .string()
    .min(1)
    .transform(asId<'pool'>),
  address: addressSchema,
  dataCentre: z.string(),
  slots: z.number().positive(),
  isDraining: z.boolean(),
  softwareVersion: softwareVersionSchema.optional(),
  coldRemainingMs: z.number().optional(),
});

/**
 * Decodes the list of endpoints that the leader publishes to other instances. Entries that are malformed are
 * skipped and counted in `unreadable`; fails with a message if the value is no list.
 * @internal
 */
export function decodeListedEndpoints(
  value: unknown,
): Result<Pick<EndpointListPage, 'endpoints' | 'unreadable'>, string> {
  if (!Array.isArray(value)) return err('expected a list of endpoints');
  const entries = value.map((entry) => entrySchema.safeParse(entry));
  const endpoints = entries.flatMap((entry) => (entry.success ? [entry.data] : []));
  const unreadable = entries.length - endpoints.length;
  if (endpoints.length === 0 && unreadable > 0) return err('no entry of the list can be read');
  return ok({ endpoints, unreadable });
}
