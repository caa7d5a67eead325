import type { Subscription } from '@berylwood/feed';
import type { Dispatch, EndpointId, IncarnationId, MeterRecord, Work } from '@berylwood/schema';

const MAX_BATCH_RECORDS = 1000;

/**
 * Numbers the work records of attempts and sends them until the control group has committed them.
 * @public
 */
export class Meter {
  readonly #subscription: Subscription;

  readonly #endpoint: EndpointId;

  readonly #incarnation: IncarnationId;

  #records: MeterRecord[] = [];

  #sequence = 0;

  #isSending = false;

  constructor(subscription: Subscription, endpoint: EndpointId, incarnation: IncarnationId) {
    this.#subscription = subscription;
    this.#endpoint = endpoint;
    this.#incarnation = incarnation;
  }

  /** Number of records that are not committed yet. */
  get pending(): number {
    return this.#records.length;
  }

  /** Records the work of a finished attempt and returns the sequence number of the record. */
  record(dispatch: Dispatch, work: Work, billable: boolean): number {
    this.#sequence += 1;
    const { attempt, request, workspace, model = '' } = dispatch;
    this.#records.push({
      sequence: this.#sequence,
      attempt,
      request,
      workspace,
      class: dispatch.class,
      model,
      work,
      billable,
    });
    return this.#sequence;
  }

  /** Sends a batch of pending records. Records that are not committed stay for the next flush. */
  async flush(): Promise<void> {
    if (this.#isSending || this.#records.length === 0) return;
    this.#isSending = true;
    const records = this.#records.slice(0, MAX_BATCH_RECORDS);
    const batch = { endpoint: this.#endpoint, incarnation: this.#incarnation, records };
    const mark = await this.#subscription.call<number>({ type: 'meter', batch });
    if (mark.isOk()) {
      this.#records = this.#records.filter(({ sequence }) => sequence > mark.value);
    }
    this.#isSending = false;
  }
}
