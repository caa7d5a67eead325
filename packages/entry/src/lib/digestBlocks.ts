import { createHash } from 'node:crypto';
import type { WorkspaceId } from '@berylwood/schema';

/** Characters per block: about 64 tokens. */
const BLOCK_CHARACTERS = 256;

const MAX_BLOCKS = 32;
const DIGEST_CHARACTERS = 16;

/**
 * Digests of a prompt's complete blocks, each chained to the previous one. The chain starts with the
 * workspace, so that prefix affinity reveals nothing of the prompts of other workspaces.
 * @internal
 */
export function digestBlocks(workspace: WorkspaceId, prompt: string): string[] {
  const count = Math.min(MAX_BLOCKS, Math.floor(prompt.length / BLOCK_CHARACTERS));
  let previous: string = workspace;
  return Array.from({ length: count }, (_, index) => {
    const block = prompt.slice(index * BLOCK_CHARACTERS, (index + 1) * BLOCK_CHARACTERS);
    const digest = createHash('sha256').update(`${previous} `).update(block).digest('base64');
    previous = digest.slice(0, DIGEST_CHARACTERS);
    return previous;
  });
}
