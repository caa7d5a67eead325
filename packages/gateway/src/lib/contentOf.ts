import { createHash } from 'node:crypto';
import type { ResolvedRequest } from './resolveRequest';

/** Parts of one prompt that are considered; callers choose how many they name. */
const MAX_PARTS = 64;

/** Longest id of a part that is used as it is; longer ones are replaced by a digest. */
const MAX_ID_LENGTH = 64;

/** A whole request, as far as an endpoint receives it. */
interface WholeRequest {
  readonly method: string;
  /** Path and query. */
  readonly target: string;
  readonly body: Buffer;
}

/** Keys of the contents of a request that other requests may have too. @internal */
export interface RequestContent {
  /** The parts of the prompt but the last, which is the request's own. */
  readonly parts: readonly string[];
  /** The whole request of its workspace. */
  readonly whole: string;
}

const digestOf = (text: string): string => createHash('sha256').update(text).digest('base64url');

/** Keys of the contents of a request. They hold for one pool, as pools run different software. @internal */
export function contentOf(
  { metadata, workspace, target }: ResolvedRequest,
  { method, target: path, body }: WholeRequest,
): RequestContent {
  const parts = metadata.prompt
    .slice(0, -1)
    .slice(0, MAX_PARTS)
    .map(({ id }) => `${target}/part/${id.length > MAX_ID_LENGTH ? digestOf(id) : id}`);
  const hash = createHash('sha256');
  for (const field of [workspace?.name ?? '', method, path])
    hash.update(`${field.length}:${field}`);
  const whole = `${target}/request/${hash.update(body).digest('base64url')}`;
  return { parts: [...new Set(parts)], whole };
}
