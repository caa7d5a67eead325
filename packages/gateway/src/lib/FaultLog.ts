import type { Journal, Metrics } from '@berylwood/base';
import { gatewayEvents } from './events';

/** Fields of the log line of a fault. */
type FaultFields = Readonly<Record<string, unknown>>;

/** Logs and counts faults: exceptions that no code of the gateway expects. @internal */
export class FaultLog {
  readonly #journal: Journal;

  readonly #faults;

  constructor(journal: Journal, metrics: Metrics) {
    this.#journal = journal;
    this.#faults = metrics.counter('faults_total', 'Unexpected exceptions, by place', ['place']);
  }

  record(place: string, error: unknown, fields: FaultFields): void {
    this.#faults.inc({ place });
    const stack = error instanceof Error ? error.stack : undefined;
    this.#journal.record(gatewayEvents.fault, { place, ...fields, error: String(error), stack });
  }
}
