import { NO_EVACUATIONS, type EvacuationState } from './EvacuationState';

/**
 * The newest evacuations that an instance has learnt from its cache, its replica or another instance. A
 * replica that applies its log again after a restart, and delayed messages, bring older ones, which are ignored.
 * @internal
 */
export class NewestEvacuations {
  /** Called with each newer state. */
  onNewer: (state: EvacuationState) => void = () => {};

  #state = NO_EVACUATIONS;

  get state(): EvacuationState {
    return this.#state;
  }

  receive(state: EvacuationState): void {
    if (state.revision <= this.#state.revision) return;
    this.#state = state;
    this.onNewer(state);
  }
}
