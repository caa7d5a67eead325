import type { Journal, Metrics } from '@berylwood/base';
import type { EvacuationState } from '@berylwood/registry';
import { gatewayEvents } from './events';

/** Data centres whose endpoints receive no new requests, by the newest orders of operators. @internal */
export class Evacuations {
  /**
   * Called with a data centre whose evacuation has ended, when its endpoints are in service again. They may have
   * become cold meanwhile.
   */
  onEnded: (dataCentre: string) => void = () => {};

  /** Called after any change, before `onEnded`. */
  onChanged: () => void = () => {};

  readonly #journal: Journal;

  readonly #count;

  #revision = 0;

  #dataCentres: ReadonlySet<string> = new Set();

  constructor(journal: Journal, metrics: Metrics) {
    this.#journal = journal;
    this.#count = metrics.gauge('evacuated_data_centres', 'Data centres that are evacuated');
    this.#count.set(0);
  }

  has(dataCentre: string): boolean {
    return this.#dataCentres.has(dataCentre);
  }

  /** Applies a state; one that is not newer is ignored. */
  apply({ revision, dataCentres }: EvacuationState): void {
    if (revision <= this.#revision) return;
    const before = this.#dataCentres;
    const after = new Set(dataCentres);
    this.#revision = revision;
    this.#dataCentres = after;
    this.#count.set(after.size);
    for (const dataCentre of after) {
      if (!before.has(dataCentre))
        this.#journal.record(gatewayEvents.evacuationStarted, { dataCentre, revision });
    }
    this.onChanged();
    const ended = [...before].filter((dataCentre) => !after.has(dataCentre));
    for (const dataCentre of ended) {
      this.#journal.record(gatewayEvents.evacuationEnded, { dataCentre, revision });
      this.onEnded(dataCentre);
    }
  }
}
