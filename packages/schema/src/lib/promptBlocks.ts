import { createHash } from 'node:crypto';

/** Characters in one block of a prefix cache: 64 tokens of 4 characters. */
const BLOCK_CHARACTERS = 256;

const DIGEST_LENGTH = 16;

/**
 * Returns the digests of the full blocks of a prompt. Each digest includes the previous one, so that
 * equal digests mean equal prefixes. A partial last block has no digest.
 * @public
 */
export function promptBlocks(prompt: string): string[] {
  const blocks: string[] = [];
  let previous = '';
  for (let end = BLOCK_CHARACTERS; end <= prompt.length; end += BLOCK_CHARACTERS) {
    const block = prompt.slice(end - BLOCK_CHARACTERS, end);
    previous = createHash('sha256')
      .update(previous)
      .update(block)
      .digest('hex')
      .slice(0, DIGEST_LENGTH);
    blocks.push(previous);
  }
  return blocks;
}
