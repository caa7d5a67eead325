import { asId } from '@berylwood/base';
import { parseAddress } from '@berylwood/link';
import { z } from 'zod';
import { isFieldValue } from './isFieldValue';

/** Schema of an endpoint's id, which each request to the endpoint carries in a header. @public */
export const endpointIdSchema = z
  .string()
  .refine(isFieldValue, 'expected text that a header can carry')
  .transform(asId<'endpoint'>);

/** Longest name of a software version, in UTF-16 code units. */
const MAX_VERSION_LENGTH = 128;

/** Schema of the software version of an endpoint. @public */
export const softwareVersionSchema = z
  .string()
  .min(1)
  .max(MAX_VERSION_LENGTH)
  .transform(asId<'softwareVersion'>);

/** Schema of an address that can be dialled, `IP:PORT`. @public */
export const addressSchema = z.string().transform((text, context) => {
  const address = parseAddress(text);
  if (address !== undefined) return address;
  context.addIssue({ code: 'custom', message: 'expected IP:PORT with a port from 1 to 65535' });
  return z.NEVER;
});
