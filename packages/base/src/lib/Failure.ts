import { err, type Result } from 'neverthrow';
import type { Code, NotRun } from './Code';

/** Optional details of a failure in addition to its code. @public */
export interface FailureDetails {
  /** Overrides the default of the code. */
  readonly notRun?: NotRun;
  /** Time after which a retry may succeed, in milliseconds. */
  readonly retryAfterMs?: number;
  readonly cause?: unknown;
}

/** An expected failure with a numbered code, returned in a `Result` and not thrown. @public */
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

/** Returns an `err` result with a new failure. @public */
export function fail<T = never>(
  code: Code,
  message: string,
  details?: FailureDetails,
): Result<T, Failure> {
  return err(new Failure(code, message, details));
}
