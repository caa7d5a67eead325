import { createHash } from 'node:crypto';
import type { Command } from './Command';

/**
 * Digest of the content of a command. It leaves out the time, so that a resend has the same digest.
 * For `giveKey` it covers only the workspace, as a resend may carry a newly generated key.
 * @internal
 */
export function digestCommand(command: Command): string {
  const { at, ...rest } = command;
  const payload = rest.type === 'giveKey' ? { type: rest.type, of: rest.record.workspace } : rest;
  return createHash('sha256').update(JSON.stringify(payload)).digest('base64url').slice(0, 16);
}
