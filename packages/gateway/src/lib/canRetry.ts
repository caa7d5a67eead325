import type { RequestKind } from './RoutingConfiguration';

/** State of a request after an attempt that produced no usable response. @internal */
export interface RetryState {
  readonly kind: RequestKind;
  readonly isResumable: boolean;
  /** Whether it is certain that no attempt so far has run. */
  readonly isNotRun: boolean;
  /** Number of attempts whose bytes may have reached an endpoint. */
  readonly sends: number;
  readonly maxAttempts: number;
  /** Number of attempts that failed to connect to an endpoint. */
  readonly connectErrors: number;
  readonly leftMs: number;
}

/** Number of connection errors after which a request is rejected. */
const MAX_CONNECT_ERRORS = 6;

/** Minimum time left for another attempt, in milliseconds; with less it cannot finish. */
const MIN_LEFT_MS = 40;

/**
 * Whether a request may be retried on another endpoint. Load pattern: endpoints crash or fail while
 * the callers of their requests still have time. A request that may have run is retried only if its
 * kind allows it.
 * @internal
 */
export function canRetry(input: RetryState): boolean {
  const { kind, isResumable, isNotRun, sends, maxAttempts, connectErrors: misses, leftMs } = input;
  if (leftMs < MIN_LEFT_MS || sends >= maxAttempts || misses >= MAX_CONNECT_ERRORS) return false;
  return isNotRun || kind === 'repeatable' || (kind === 'stream' && isResumable);
}
