import { createHash, timingSafeEqual } from 'node:crypto';
import { fail, type Failure } from '@berylwood/base';
import type { StateCopy } from '@berylwood/feed';
import { requestCodes, type KeyRecord } from '@berylwood/schema';
import { ok, type Result } from 'neverthrow';

/** The secret of a caller's key, with the key's record. @internal */
export interface Identity {
  readonly secret: string;
  readonly record: KeyRecord;
}

/**
 * Finds the workspace of the key in an `Authorization: Bearer` header. The look-up is by the hash,
 * and the hashes are compared in constant time, so that timing reveals nothing about a secret.
 * @internal
 */
export function authenticate(
  state: StateCopy,
  authorization: string | undefined,
): Result<Identity, Failure> {
  const secret = /^Bearer +(\S+)$/i.exec(authorization ?? '')?.[1];
  if (!secret) return fail(requestCodes.keyMissing, 'no key in the Authorization header');
  const hash = createHash('sha256').update(secret).digest('hex');
  const record = state.findKey(hash);
  if (!record || !timingSafeEqual(Buffer.from(record.hash), Buffer.from(hash))) {
    return fail(requestCodes.keyRefused, 'the key is unknown or withdrawn');
  }
  return ok({ secret, record });
}
