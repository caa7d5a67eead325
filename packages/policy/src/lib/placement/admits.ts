/** Timing of a request that is about to be sent to an endpoint, in milliseconds. @public */
export interface AdmissionInput {
  /** Expected time until the endpoint has prefilled the prompt, including the queue before it. */
  readonly prefillMs: number;
  /** Time within which the response should begin. */
  readonly objectiveMs: number;
  /** Total time that the route allows. */
  readonly timeoutMs: number;
  /** Time that the request has left. */
  readonly leftMs: number;
  /**
   * Time that the caller allows. It is less than `timeoutMs` if the caller has tried before. If
   * undefined, `timeoutMs` is assumed.
   */
  readonly budgetMs: number | undefined;
}

/** Options of admission control. @public */
export interface AdmissionOptions {
  /** Fraction of the objective that the prefill of a first try may take. */
  readonly firstTryShare: number;
  /** The same for a caller that retries, which has already waited. */
  readonly retryShare: number;
}

/**
 * Defaults. In the middle of a burst, responses begin after 1.5 times the expected prefill time plus
 * 100 ms. The response to a prompt admitted at `retryShare` therefore begins within the objective,
 * with some margin for more urgent prompts that are prefilled first.
 * @public
 */
export const DEFAULT_ADMISSION_OPTIONS: AdmissionOptions = { firstTryShare: 0.35, retryShare: 0.5 };

/** Fraction of the route's timeout below which the caller's time budget indicates a retry. */
const FIRST_TRY_DEADLINE_SHARE = 0.85;

/** Fraction of the remaining time that the prefill may take in any case. */
const REMAINING_TIME_SHARE = 0.7;

/** Whether a caller has tried before: it states a deadline well below the timeout of its route. @public */
export function isReturning({
  timeoutMs,
  budgetMs = timeoutMs,
}: Pick<AdmissionInput, 'timeoutMs' | 'budgetMs'>): boolean {
  return budgetMs < timeoutMs * FIRST_TRY_DEADLINE_SHARE;
}

/** Whether the prefill leaves enough of the remaining time for the response. @public */
export function canFinish({
  prefillMs,
  leftMs,
}: Pick<AdmissionInput, 'prefillMs' | 'leftMs'>): boolean {
  return prefillMs <= leftMs * REMAINING_TIME_SHARE;
}

/**
 * Whether to admit a request. Load pattern: more long prompts arrive than engines can prefill. If all
 * were admitted, the queue would grow until every response begins late. Therefore only as many are
 * admitted as can begin in time, and the other callers are told at once when to retry. More urgent
 * requests see a shorter queue, so the least urgent ones are rejected first.
 *
 * A caller that retries is admitted at a slightly longer queue. It must not be much longer: in an
 * overload many callers retry, so the queue would stay that long and every response would begin late.
 * @public
 */
export function admits(
  input: AdmissionInput,
  options: AdmissionOptions = DEFAULT_ADMISSION_OPTIONS,
): boolean {
  const share = isReturning(input) ? options.retryShare : options.firstTryShare;
  return input.prefillMs <= input.objectiveMs * share && canFinish(input);
}
