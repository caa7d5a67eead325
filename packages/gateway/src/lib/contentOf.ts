import { createHash } from 'node:crypto';
import type { ResolvedRequest } from './resolveRequest';

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

/** Keys of the contents of a request. They hold for one pool, as pools run different software. @internal */
export function contentOf(
  { metadata, workspace, target }: ResolvedRequest,
  { method, target: path, body }: WholeRequest,
): RequestContent {
  const parts = metadata.prompt.slice(0, -1).map(({ id }) => `${target}/part/${id}`);
  const hash = createHash('sha256');
  for (const field of [workspace?.name ?? '', method, path])
    hash.update(`${field.length}:${field}`);
  const whole = `${target}/request/${hash.update(body).digest('base64url')}`;
  return { parts: [...new Set(parts)], whole };
}
