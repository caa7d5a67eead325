import { Failure, unreachable } from '@berylwood/base';
import { requestCodes, type ClaimAnswer, type EndpointId } from '@berylwood/schema';
import type { ClaimClient } from './ClaimClient';
import type { Exchange } from './Exchange';

/** Header that marks a response stored by an earlier run of the request. */
const REPLAY_HEADER = 'idempotency-replayed';

/** Claims a request that must not be repeated, then dispatches, replays or fails it. @internal */
export class ClaimRun {
  readonly #claims: ClaimClient;

  readonly #exchange: Exchange;

  readonly #dispatch: () => void;

  constructor(claims: ClaimClient, exchange: Exchange, dispatch: () => void) {
    this.#claims = claims;
    this.#exchange = exchange;
    this.#dispatch = dispatch;
  }

  async start(endpoint: EndpointId): Promise<void> {
    const exchange = this.#exchange;
    if (!exchange.send('claim')) return;
    const answer = await this.#claims.claim(exchange, endpoint);
    if (answer.isErr()) {
      // The claim may still be committed, so it is settled as not run.
      exchange.hasClaim = true;
      const { claimUnavailable } = requestCodes;
      exchange.fail(new Failure(claimUnavailable, claimUnavailable.meaning));
    } else this.#proceed(answer.value);
  }

  #proceed(answer: ClaimAnswer): void {
    const exchange = this.#exchange;
    switch (answer.type) {
      case 'granted':
        exchange.hasClaim = true;
        if (exchange.hasEnded) this.#claims.settleNotRun(exchange);
        else this.#dispatch();
        break;
      case 'running':
        exchange.fail(new Failure(requestCodes.claimRunning, requestCodes.claimRunning.meaning));
        break;
      case 'conflict':
        exchange.fail(new Failure(requestCodes.claimConflict, requestCodes.claimConflict.meaning));
        break;
      case 'settled':
        this.#replay(answer);
        break;
      default:
        unreachable(answer);
    }
  }

  #replay(answer: Extract<ClaimAnswer, { type: 'settled' }>): void {
    const { claimSpent, outcomeUnknown } = requestCodes;
    if (answer.outcome === 'ran') {
      const headers = { ...answer.headers, [REPLAY_HEADER]: 'true' };
      this.#exchange.replay(answer.status, headers, answer.body);
    } else if (answer.outcome === 'notRun') {
      this.#exchange.fail(new Failure(claimSpent, claimSpent.meaning));
    } else {
      // This resend has not run, but the earlier request may have.
      this.#exchange.markPossiblyRun();
      this.#exchange.fail(new Failure(outcomeUnknown, outcomeUnknown.meaning));
    }
  }
}
