import { SystemTimer, asId, createSilentJournal } from '@berylwood/base';
import { Subscription } from '@berylwood/feed';
import {
  asWorkspaceId,
  createAttemptId,
  createChangeId,
  createIncarnationId,
  createRequestId,
  type MeterRecord,
} from '@berylwood/schema';
import type { OperatorGroup } from './OperatorGroup';

const ORDER_INTERVAL_MS = 60;
const METER_INTERVAL_MS = 100;

/** Submits orders and usage continuously, and records what the group acknowledged. @internal */
export class GroupWorkload {
  /** Ids of the orders that the group has acknowledged. */
  readonly accepted: string[] = [];

  /** Number of output tokens that the group has acknowledged. */
  acknowledgedTokens = 0;

  readonly #group: OperatorGroup;

  readonly #subscription: Subscription;

  readonly #incarnation = createIncarnationId();

  readonly #timer = new SystemTimer();

  readonly #loops: Promise<void>[] = [];

  #isRunning = true;

  #sequence = 0;

  constructor(group: OperatorGroup, addresses: readonly string[]) {
    this.#group = group;
    this.#subscription = new Subscription({
      timer: this.#timer,
      journal: createSilentJournal(this.#timer),
      addresses,
      group: 'default',
      process: 'workload',
      incarnation: this.#incarnation,
      dataCentre: asId('naas'),
    });
  }

  start(): void {
    this.#subscription.open();
    this.#loops.push(this.#submitOrders(), this.#submitUsage());
    // `stop` rethrows an error of a loop; this avoids an unhandled rejection until then.
    for (const loop of this.#loops) loop.catch(() => {});
  }

  async stop(): Promise<void> {
    this.#isRunning = false;
    await Promise.all(this.#loops);
    this.#subscription[Symbol.dispose]();
  }

  async #submitOrders(): Promise<void> {
    while (this.#isRunning) {
      const change = createChangeId();
      const order = asId<'order'>(`ord-${change}`);
      const action = { type: 'start', dataCentre: asId<'dataCentre'>('naas'), model: 'm' } as const;
      await this.#group.call((client) => client.intendOrder.mutate({ change, order, action }));
      this.accepted.push(order);
      await this.#timer.sleep(ORDER_INTERVAL_MS);
    }
  }

  async #submitUsage(): Promise<void> {
    while (this.#isRunning) {
      this.#sequence += 1;
      await this.#submitRecord(this.#record());
      await this.#timer.sleep(METER_INTERVAL_MS);
    }
  }

  /** Resends a record until it is acknowledged. */
  async #submitRecord(record: MeterRecord): Promise<void> {
    const endpoint = asId<'endpoint'>('engine-1');
    const batch = { endpoint, incarnation: this.#incarnation, records: [record] };
    for (;;) {
      const mark = await this.#subscription.call<number>({ type: 'meter', batch }, 1000);
      if (mark.isOk() && mark.value >= record.sequence) break;
      await this.#timer.sleep(METER_INTERVAL_MS);
    }
    this.acknowledgedTokens += record.work.outputTokens;
  }

  #record(): MeterRecord {
    return {
      sequence: this.#sequence,
      attempt: createAttemptId(),
      request: createRequestId(),
      workspace: asWorkspaceId('acme'),
      class: 'chat',
      model: 'm',
      work: { inputTokens: 0, outputTokens: 1, cachedTokens: 0 },
      billable: true,
    };
  }
}
