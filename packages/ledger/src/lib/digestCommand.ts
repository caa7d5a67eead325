import { createHash } from 'node:crypto';
import type { Command } from './Command';

/**
 * Digest of what a command asks for, without its time: a resend has the same digest. The secret of
 * a key is left out, as a resent `giveKey` may come with another one.
 * @internal
 */
export function digestCommand(command: Command): string {
  const { at, ...rest } = command;
  const payload = rest.type === 'giveKey' ? { type: rest.type, of: rest.record.workspace } : rest;
  return createHash('sha256').update(JSON.stringify(payload)).digest('base64url').slice(0, 16);
}
