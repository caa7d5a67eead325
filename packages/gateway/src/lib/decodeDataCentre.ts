import { fail, type Failure } from '@berylwood/base';
import { MAX_DATA_CENTRE_LENGTH } from '@berylwood/registry';
import { ok, type Result } from 'neverthrow';
import { gatewayCodes } from './codes';

/** Printable ASCII characters that a segment of a path may contain. */
const SEGMENT = /^[!-.0-~]+$/;

const refuse = (reason: string): Result<string, Failure> =>
  fail(gatewayCodes.dataCentreInvalid, reason);

/** Decodes the name of a data centre from a segment of a path. @internal */
export function decodeDataCentre(segment: string): Result<string, Failure> {
  if (segment === '') return refuse('the name is empty');
  if (!SEGMENT.test(segment)) return refuse('the name contains a character that is not encoded');
  try {
    const name = decodeURIComponent(segment);
    if ([...name].length <= MAX_DATA_CENTRE_LENGTH) return ok(name);
    return refuse(`the name has more than ${MAX_DATA_CENTRE_LENGTH} characters`);
  } catch (error) {
    return refuse(String(error));
  }
}
