import { err, type Result } from 'neverthrow';
import type { Code, NotRun } from './Code';

/** Optional facts of a failure beside its code. @public */
export interface FailureDetails {
  readonly notRun?: NotRun;
  /** Time after which a retry may succeed, in milliseconds. */
  readonly retryAfterMs?: number;
  readonly cause?: unknown;
}

/** An expected failure with a numbered code; carried in a `Result`, not thrown. @public */
export class Failure extends Error {
  override name = 'Failure';

  readonly code: Code;

  readonly notRun: NotRun;

  readonly retryAfterMs: number | undefined;

  constructor(code: Code, message: string, details: FailureDetails = {}) {
    super(message, { cause: details.cause });
    this.code = code;
    this.notRun = details.notRun ?? code.notRun;
    this.retryAfterMs = details.retryAfterMs;
  }
}

/** Shorthand for an `err` of a new failure. @public */
export function fail<T = never>(
  code: Code,
  message: string,
  details?: FailureDetails,
): Result<T, Failure> {
  return err(new Failure(code, message, details));
}
