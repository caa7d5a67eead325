import type { WorkspaceId } from '@berylwood/schema';

/** The share of a workspace's limits that one entry may admit. @public */
export interface LimitGrant {
  readonly workspace: WorkspaceId;
  /** Fraction of the workspace's tokens per second, from 0 to 1. */
  readonly tokenShare: number;
  /** Maximum number of the workspace's requests that wait or run in this entry at a time. */
  readonly requests: number;
}

/** Grants of one entry. They hold for one term, after which the fallback applies. @public */
export interface LimitGrants {
  readonly grants: readonly LimitGrant[];
  /** Number of entries that share the limits, and the position of this one among them, from 0. */
  readonly entries: number;
  readonly position: number;
}

/** Use of a workspace's limits in one entry since its last report. @public */
export interface LimitUse {
  readonly workspace: WorkspaceId;
  /** Requested tokens per second, whether admitted or not. */
  readonly tokensPerSecond: number;
  /** Peak number of concurrent requests, including those rejected because of the limit. */
  readonly requests: number;
}

/** Term of a grant, in milliseconds. A limit is exceeded for no longer than this. @public */
export const GRANT_TERM_MS = 2_000;

/** Number of concurrent requests that one of several entries may have without a grant. @internal */
export function fallbackRequests(limit: number, entries: number, position: number): number {
  const evenPart = Math.floor(limit / entries);
  return position < limit - evenPart * entries ? evenPart + 1 : evenPart;
}
