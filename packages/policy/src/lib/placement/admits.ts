/** What is known of a request when it could be handed to an endpoint. @public */
export interface AdmissionInput {
  /** Expected time until the endpoint has read its prompt, in milliseconds. */
  readonly prefillMs: number;
  /** Time within which its answer should begin. */
  readonly objectiveMs: number;
  /** Time that its route allows in all. */
  readonly timeoutMs: number;
  /** Time that is left of it. */
  readonly leftMs: number;
  /** Time that the caller gave with it; less than the route allows if it has tried before. */
  readonly budgetMs: number | undefined;
}

/** Options of the admission. @public */
export interface AdmissionOptions {
  /** Part of the objective that the reading of a first try may take. */
  readonly firstTryShare: number;
  /** The same for callers that come back: they have waited already. */
  readonly retryShare: number;
}

/**
 * Defaults. Answers began after 1.5 times the expected reading and 100 ms, in the middle of a
 * measured burst, so that a prompt let in at `returningShare` begins within the objective with some
 * room for more urgent ones that pass it.
 * @public
 */
export const DEFAULT_ADMISSION_OPTIONS: AdmissionOptions = { firstTryShare: 0.35, retryShare: 0.5 };

/** Part of the route's time below which a caller's own time shows that it has tried before. */
const FIRST_TRY_DEADLINE_SHARE = 0.85;

/** Part of the time left that reading may take in any case. */
const REMAINING_TIME_SHARE = 0.7;

/**
 * Whether a request is let in. Load pattern: more long prompts arrive than engines can read. If all
 * were let in, the queue would grow until every answer begins late; so as many are let in as can
 * begin in time, and the others learn at once when to return. What is more urgent sees a shorter
 * queue, so the least urgent are turned away first. Callers that come back are many then; a queue
 * that is much longer for them stays that long, and everyone's answers begin late.
 * @public
 */
export function admits(
  input: AdmissionInput,
  options: AdmissionOptions = DEFAULT_ADMISSION_OPTIONS,
): boolean {
  const { prefillMs, objectiveMs, timeoutMs, leftMs, budgetMs = timeoutMs } = input;
  const isRetry = budgetMs < timeoutMs * FIRST_TRY_DEADLINE_SHARE;
  const share = isRetry ? options.retryShare : options.firstTryShare;
  return prefillMs <= Math.min(objectiveMs * share, leftMs * REMAINING_TIME_SHARE);
}
