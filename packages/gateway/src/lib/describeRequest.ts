import type { GatewayContext } from './GatewayContext';
import type { RequestRecord } from './RequestLog';
import type { ResolvedRequest } from './resolveRequest';

type Description = Pick<
  RequestRecord,
  | 'request'
  | 'resumes'
  | 'route'
  | 'workspace'
  | 'pool'
  | 'rank'
  | 'promptTokens'
  | 'deadlineMs'
  | 'version'
  | 'listAgeMs'
>;

/**
 * Fields of the log line that come from the request itself, and the configuration version and age of
 * the endpoint list that it was handled with.
 * @internal
 */
export function describeRequest(
  { directory }: GatewayContext,
  resolved: ResolvedRequest | undefined,
): Description {
  return {
    request: resolved?.metadata.attempt,
    resumes: resolved?.metadata.resumes,
    route: resolved?.route.name,
    workspace: resolved?.workspace?.name,
    pool: resolved?.target,
    rank: resolved?.rank,
    promptTokens: resolved?.metadata.promptTokens,
    deadlineMs: resolved?.metadata.deadlineMs,
    version: resolved?.table.version,
    listAgeMs: Math.round(directory.ageMs),
  };
}
