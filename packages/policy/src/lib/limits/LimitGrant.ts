import type { WorkspaceId } from '@berylwood/schema';

/** What one entry may admit of a workspace's limits. @public */
export interface LimitGrant {
  readonly workspace: WorkspaceId;
  /** Part of the workspace's tokens a second, from 0 to 1. */
  readonly tokenShare: number;
  /** Requests of the workspace that may wait or run in this entry at a time. */
  readonly requests: number;
}

/** Grants of one entry. They hold for a term, after which the fallback is in force. @public */
export interface LimitGrants {
  readonly grants: readonly LimitGrant[];
  /** Number of entries that share the limits, and the position of this one among them, from 0. */
  readonly entries: number;
  readonly position: number;
}

/** Use of a workspace in one entry since its last report. @public */
export interface LimitUse {
  readonly workspace: WorkspaceId;
  /** Tokens asked for a second, whether admitted or not. */
  readonly tokensPerSecond: number;
  /** Most requests at a time, including those refused for the limit. */
  readonly requests: number;
}

/** Longest time that a grant holds, in milliseconds: a limit is exceeded no longer than this. @public */
export const GRANT_TERM_MS = 2_000;

/** Part of a number of requests that one of several entries gets without a grant. @internal */
export function fallbackRequests(limit: number, entries: number, position: number): number {
  const evenPart = Math.floor(limit / entries);
  return position < limit - evenPart * entries ? evenPart + 1 : evenPart;
}
