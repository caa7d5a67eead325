import { readFileSync } from 'node:fs';
import type { LinkIdentity } from '@berylwood/link';
import type { TlsSettings } from '@berylwood/schema';

/**
 * Reads the certificate, key and certificate authority with which a process authenticates to peers.
 * @throws if a file cannot be read.
 * @internal
 */
export function readIdentity(files: NonNullable<TlsSettings['peers']>): LinkIdentity {
  return {
    certificate: readFileSync(files.certificate),
    key: readFileSync(files.key),
    authority: readFileSync(files.authority),
  };
}
