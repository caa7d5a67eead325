import { readFileSync } from 'node:fs';
import type { LinkIdentity } from '@berylwood/link';
import type { TlsSettings } from '@berylwood/schema';

/**
 * Reads the files of the identity that a process shows to its peers.
 * @throws when a file can not be read.
 * @internal
 */
export function readIdentity(files: NonNullable<TlsSettings['peers']>): LinkIdentity {
  return {
    certificate: readFileSync(files.certificate),
    key: readFileSync(files.key),
    authority: readFileSync(files.authority),
  };
}
