import type { Timer } from '@berylwood/base';
import type { Attempt } from './Attempt';
import type { Route } from './RoutingConfiguration';

/** Multiple of the objective without an answer after which a repeatable call goes elsewhere. */
const SILENCE_OBJECTIVES = 2;

/** Multiple of the objective after which a silent stream that others have overtaken goes elsewhere. */
const OVERTAKEN_OBJECTIVES = 0.5;

/** Interval at which a silent stream is looked at again, as a multiple of the objective. */
const WATCH_OBJECTIVES = 0.125;

/**
 * Waits for the first sign of an answer. Load pattern: an endpoint runs a request and its answer is
 * lost, while it serves others. A stream counts as lost only once later ones have begun there,
 * since in a burst all are slow.
 * @internal
 */
export class SilenceWatch implements Disposable {
  readonly #timer: Timer;

  readonly #attempt: Attempt;

  readonly #rank: number;

  readonly #onSilence: (reason: string) => void;

  #next: Disposable | undefined;

  constructor(
    timer: Timer,
    attempt: Attempt,
    { kind, objectiveMs }: Route,
    rank: number,
    onSilence: (reason: string) => void,
  ) {
    this.#timer = timer;
    this.#attempt = attempt;
    this.#rank = rank;
    this.#onSilence = onSilence;
    if (kind === 'repeatable') {
      this.#next = timer.after(objectiveMs * SILENCE_OBJECTIVES, () => onSilence('no answer'));
    } else if (kind === 'stream') {
      this.#next = timer.after(objectiveMs * OVERTAKEN_OBJECTIVES, () => this.#look(objectiveMs));
    }
  }

  [Symbol.dispose](): void {
    this.#next?.[Symbol.dispose]();
  }

  #look(objectiveMs: number): void {
    const { endpoint, startedAt } = this.#attempt;
    if (endpoint.hasOvertaken(this.#rank, startedAt)) {
      this.#onSilence('overtaken without an answer');
      return;
    }
    const intervalMs = objectiveMs * WATCH_OBJECTIVES;
    this.#next = this.#timer.after(intervalMs, () => this.#look(objectiveMs));
  }
}
