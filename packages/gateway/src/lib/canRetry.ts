import type { RequestKind } from './RoutingConfiguration';

/** What is known when an attempt has ended without a usable answer. @internal */
export interface RetryState {
  readonly kind: RequestKind;
  readonly isResumable: boolean;
  /** Whether no attempt so far can have run. */
  readonly isNotRun: boolean;
  /** Attempts whose bytes may have reached an endpoint. */
  readonly sends: number;
  readonly maxAttempts: number;
  /** Attempts that reached no endpoint. */
  readonly connectErrors: number;
  readonly leftMs: number;
}

/** Connections that one request may fail to make before it is refused. */
const MAX_CONNECT_ERRORS = 6;

/** Time below which another attempt can't finish, in milliseconds. */
const MIN_LEFT_MS = 40;

/**
 * Whether a request may be sent to another endpoint. Load pattern: endpoints that crash or fail
 * leave requests whose callers still have time. What may have run is repeated only if its kind
 * allows it.
 * @internal
 */
export function canRetry(input: RetryState): boolean {
  const { kind, isResumable, isNotRun, sends, maxAttempts, connectErrors: misses, leftMs } = input;
  if (leftMs < MIN_LEFT_MS || sends >= maxAttempts || misses >= MAX_CONNECT_ERRORS) return false;
  return isNotRun || kind === 'repeatable' || (kind === 'stream' && isResumable);
}
