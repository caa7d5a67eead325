import type { Journal, Timer } from '@berylwood/base';
import { StatedLimit } from '@berylwood/policy';
import { gatewayEvents } from './events';
import type { AttemptId, EndpointId } from './ids';
import type { StatedConditions } from './Wire';

/** A response in which an endpoint states its conditions. @internal */
export interface StatementSource {
  readonly request: AttemptId | undefined;
  /** Time at which the request was sent, in milliseconds. */
  readonly sentAt: number;
}

/** The conditions that an endpoint states in its responses. @internal */
export class EndpointStatements {
  readonly #endpoint: EndpointId;

  readonly #timer: Timer;

  readonly #journal: Journal;

  /** Requests per second that the endpoint accepts from all instances together. */
  readonly #rate = new StatedLimit();

  #hasLoggedInvalid = false;

  constructor(endpoint: EndpointId, timer: Timer, journal: Journal) {
    this.#endpoint = endpoint;
    this.#timer = timer;
    this.#journal = journal;
  }

  /** Requests per second that the endpoint accepts from all instances together; Infinity without a limit. */
  get requestsPerS(): number {
    return this.#rate.value;
  }

  /** Records the conditions that a response states. */
  observe(stated: StatedConditions, { request, sentAt }: StatementSource): void {
    const endpoint = this.#endpoint;
    if (stated.invalid.length > 0 && !this.#hasLoggedInvalid) {
      this.#hasLoggedInvalid = true;
      const fields = { endpoint, request, values: stated.invalid };
      this.#journal.record(gatewayEvents.statementInvalid, fields);
    }
    const receivedAt = this.#timer.now();
    const value = stated.requestsPerS ?? Infinity;
    if (this.#rate.merge({ value, sentAt, receivedAt })) this.#logRate({ request });
  }

  #logRate(source: { readonly request?: AttemptId | undefined }): void {
    const endpoint = this.#endpoint;
    if (this.#rate.isLimited) {
      const fields = { endpoint, requestsPerS: this.#rate.value, ...source };
      this.#journal.record(gatewayEvents.endpointLimited, fields);
    } else this.#journal.record(gatewayEvents.endpointLimitEnded, { endpoint, ...source });
  }
}
