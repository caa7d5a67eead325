import { fail, type Failure } from '@berylwood/base';
import { requestCodes, type Configuration, type Plan, type WorkspaceId } from '@berylwood/schema';
import { ok, type Result } from 'neverthrow';
import {
  fallbackRequests,
  GRANT_TERM_MS,
  type LimitGrant,
  type LimitGrants,
  type LimitUse,
} from './LimitGrant';
import { TokenBucket } from './TokenBucket';

/** Capacity of a workspace's token bucket, as time at the workspace's rate, in milliseconds. */
const BURST_MS = 2_000;

/** Retry time reported for a request over the limit of concurrent requests, in milliseconds. */
const CONCURRENCY_RETRY_AFTER_MS = 1_000;

/** State of one workspace in one entry. */
interface Account {
  readonly bucket: TokenBucket;
  running: number;
  /** Tokens requested and peak number of requests since the last report. */
  requestedTokens: number;
  peakRequests: number;
}

/**
 * Enforces the limits of workspaces in one entry without a remote call for each request. The entry
 * holds a share of each limit, granted for a term according to its use. Without a new grant it falls
 * back to an even share. All entries together exceed a limit for at most one term and the burst.
 * @public
 */
export class WorkspaceLimiter {
  readonly #accounts = new Map<WorkspaceId, Account>();

  #configuration: Configuration | undefined;

  #grants = new Map<WorkspaceId, LimitGrant>();

  #entries = 1;

  #position = 0;

  #grantedUntil = -Infinity;

  #reportedAt: number;

  /** @param now start of the first report interval, in monotonic milliseconds */
  constructor(now: number) {
    this.#reportedAt = now;
  }

  configure(configuration: Configuration): void {
    this.#configuration = configuration;
  }

  /**
   * Applies new grants.
   * @param requestedAt time at which the entry requested them, so that delays shorten their term
   */
  grantsReceived({ grants, entries, position }: LimitGrants, requestedAt: number): void {
    this.#grants = new Map(grants.map((grant) => [grant.workspace, grant]));
    this.#entries = Math.max(1, entries);
    this.#position = position;
    this.#grantedUntil = requestedAt + GRANT_TERM_MS;
  }

  /**
   * Admits a request with its expected work in tokens, or fails with `limitReached`. The caller must
   * call `ended` for each admitted request.
   */
  admit(workspace: WorkspaceId, work: number, now: number): Result<void, Failure> {
    const plan = this.#planOf(workspace);
    const account = this.#accountOf(workspace, plan, now);
    account.requestedTokens += work;
    account.peakRequests = Math.max(account.peakRequests, account.running + 1);
    if (account.running >= this.#requestLimitOf(workspace, plan, now)) {
      return fail(requestCodes.limitReached, `${workspace} has its limit of requests running`, {
        retryAfterMs: CONCURRENCY_RETRY_AFTER_MS,
      });
    }
    const waitMs = plan?.tokensPerSecond === undefined ? 0 : account.bucket.waitMs(now);
    if (waitMs > 0) {
      const retryAfterMs = Math.min(waitMs, GRANT_TERM_MS);
      return fail(requestCodes.limitReached, `${workspace} is over its tokens a second`, {
        retryAfterMs,
      });
    }
    account.bucket.consume(work, now);
    account.running += 1;
    return ok(undefined);
  }

  /** Ends an admitted request; `correction` is its actual minus its expected work, in tokens. */
  ended(workspace: WorkspaceId, correction: number, now: number): void {
    const account = this.#accounts.get(workspace);
    if (!account) return;
    account.bucket.consume(correction, now);
    account.running = Math.max(0, account.running - 1);
  }

  /** Returns the use since the last report, for workspaces with any, and starts a new interval. */
  report(now: number): LimitUse[] {
    const seconds = Math.max(1, now - this.#reportedAt) / 1000;
    this.#reportedAt = now;
    const uses: LimitUse[] = [];
    for (const [workspace, account] of this.#accounts) {
      const { requestedTokens, peakRequests, running } = account;
      if (requestedTokens > 0 || running > 0) {
        uses.push({
          workspace,
          tokensPerSecond: requestedTokens / seconds,
          requests: peakRequests,
        });
      } else if (account.bucket.level(now) > 0) this.#accounts.delete(workspace);
      account.requestedTokens = 0;
      account.peakRequests = running;
    }
    return uses;
  }

  #planOf(workspace: WorkspaceId): Plan | undefined {
    const name = this.#configuration?.customers[workspace]?.plan;
    return name === undefined ? undefined : this.#configuration?.plans[name];
  }

  #accountOf(workspace: WorkspaceId, plan: Plan | undefined, now: number): Account {
    const rate = (plan?.tokensPerSecond ?? 0) * this.#tokenShareOf(workspace, now);
    const capacity = (rate * BURST_MS) / 1000;
    const known = this.#accounts.get(workspace);
    if (known) {
      known.bucket.resize(rate, capacity, now);
      return known;
    }
    const bucket = new TokenBucket(rate, capacity, now);
    const account = { bucket, running: 0, requestedTokens: 0, peakRequests: 0 };
    this.#accounts.set(workspace, account);
    return account;
  }

  #tokenShareOf(workspace: WorkspaceId, now: number): number {
    const grant = now < this.#grantedUntil ? this.#grants.get(workspace) : undefined;
    return grant?.tokenShare ?? 1 / this.#entries;
  }

  #requestLimitOf(workspace: WorkspaceId, plan: Plan | undefined, now: number): number {
    const limit = plan?.concurrentRequests;
    if (limit === undefined) return Infinity;
    const grant = now < this.#grantedUntil ? this.#grants.get(workspace) : undefined;
    return grant?.requests ?? fallbackRequests(limit, this.#entries, this.#position);
  }
}
