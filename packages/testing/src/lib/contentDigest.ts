import { createHash } from 'node:crypto';

/** Digest of a prompt or a call's body, by which callers' and endpoints' records are joined. @public */
export function contentDigest(content: string | Uint8Array): string {
  return createHash('sha256').update(content).digest('hex').slice(0, 32);
}
