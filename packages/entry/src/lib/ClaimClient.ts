import { fail, type Failure, type Timer } from '@berylwood/base';
import type { Subscription } from '@berylwood/feed';
import { linkCodes } from '@berylwood/link';
import {
  claimAnswerSchema,
  requestCodes,
  type ClaimAnswer,
  type EndpointId,
} from '@berylwood/schema';
import { ok, type Result } from 'neverthrow';
import type { Exchange } from './Exchange';

const CLAIM_TIMEOUT_MS = 3000;
/** Time in which the sidecar can store its outcome before the entry stores `unknown`. */
const UNKNOWN_SETTLE_DELAY_MS = 20_000;

const SETTLE_RETRY_INTERVAL_MS = 500;

/** Maximum attempts to store an outcome. Resends of an unsettled claim fail as running. */
const MAX_SETTLE_ATTEMPTS = 60;

/**
 * Claims requests that must not be repeated, and stores the outcomes of those that did not run or
 * whose outcome is unknown.
 * @internal
 */
export class ClaimClient {
  readonly #subscription: Pick<Subscription, 'call'>;

  readonly #timer: Timer;

  constructor(subscription: Pick<Subscription, 'call'>, timer: Timer) {
    this.#subscription = subscription;
    this.#timer = timer;
  }

  /** Requests the single attempt that the idempotency key allows. */
  async claim(exchange: Exchange, endpoint: EndpointId): Promise<Result<ClaimAnswer, Failure>> {
    const { order, attempt } = exchange;
    const answer = await this.#subscription.call<unknown>(
      {
        type: 'claim',
        workspace: order.job.workspace,
        idempotencyKey: order.idempotencyKey ?? '',
        fingerprint: order.fingerprint,
        request: order.request,
        attempt,
        endpoint,
      },
      CLAIM_TIMEOUT_MS,
    );
    return answer.andThen((value) => {
      const parsed = claimAnswerSchema.safeParse(value);
      if (parsed.success) return ok(parsed.data);
      return fail(linkCodes.callFailed, 'the answer to a claim is not valid');
    });
  }

  /** Stores that the claimed attempt never ran. */
  settleNotRun(exchange: Exchange): void {
    this.#settle(exchange, 'notRun', requestCodes.claimSpent.status).catch(() => {});
  }

  /** Stores the outcome of a failed request, unless it has run: then the sidecar stores it. */
  settleFailure(exchange: Exchange, failure: Failure): void {
    if (failure.notRun === true) this.settleNotRun(exchange);
    if (failure.notRun !== 'unknown') return;
    this.#timer.after(UNKNOWN_SETTLE_DELAY_MS, () => {
      this.#settle(exchange, 'unknown', failure.code.status).catch(() => {});
    });
  }

  async #settle(exchange: Exchange, outcome: 'notRun' | 'unknown', status: number): Promise<void> {
    const { order } = exchange;
    for (let tries = 0; tries < MAX_SETTLE_ATTEMPTS; tries += 1) {
      const answer = await this.#subscription.call({
        type: 'settle',
        workspace: order.job.workspace,
        idempotencyKey: order.idempotencyKey ?? '',
        request: order.request,
        outcome,
        status,
        headers: {},
        body: new Uint8Array(),
      });
      if (answer.isOk()) return;
      await this.#timer.sleep(SETTLE_RETRY_INTERVAL_MS);
    }
  }
}
