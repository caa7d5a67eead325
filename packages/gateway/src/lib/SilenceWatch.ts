import type { Timer } from '@berylwood/base';
import type { Endpoint } from './Endpoint';
import type { Route } from './RoutingConfiguration';

/** Multiple of the objective without an answer after which a repeatable call goes elsewhere. */
const SILENCE_OBJECTIVES = 2;

/** Multiple of the objective after which a silent stream that others have overtaken goes elsewhere. */
const OVERTAKEN_OBJECTIVES = 0.5;

/** Multiple of the objective after which the endpoint of a stream without an event is probed. */
const PROBE_OBJECTIVES = 0.75;

/** Multiple of its longest pause in time after which the endpoint of a running stream is probed. */
const PROBE_PAUSES = 3;

/** Shortest silence of a running stream that is looked into, in milliseconds. */
const LEAST_PAUSE_MS = 400;

/** Interval at which a stream is looked at, as a multiple of the objective. */
const WATCH_OBJECTIVES = 0.125;

/** An attempt as a watch sees it. */
interface WatchedAttempt {
  readonly startedAt: number;
  readonly endpoint: Pick<Endpoint, 'hasOvertaken' | 'heardSince' | 'probe'>;
}

/** What a watch needs to know. @internal */
export interface SilenceWatchOptions {
  readonly timer: Timer;
  readonly attempt: WatchedAttempt;
  readonly route: Pick<Route, 'kind' | 'objectiveMs' | 'pauseMs'>;
  readonly rank: number;
  /** Called when the answer is probably lost; the watch goes on. */
  readonly onSilence: (reason: string) => void;
}

/**
 * Watches an attempt for silence. Load patterns:
 * - An endpoint runs a request and its answer is lost, while it serves others. A stream counts as
 *   lost only once later ones have begun there, since in a burst all are slow.
 * - An endpoint goes dark with all its streams, begun or not. Nothing is heard from it any more,
 *   which on an instance with few requests may be chance; a new connection tells.
 * @internal
 */
export class SilenceWatch implements Disposable {
  readonly #options: SilenceWatchOptions;

  readonly #intervalMs: number;

  #next: Disposable | undefined;

  /** Whether an event has come. */
  #isBegun = false;

  #heardAt: number;

  constructor(options: SilenceWatchOptions) {
    this.#options = options;
    const { timer, route, attempt, onSilence } = options;
    const { kind, objectiveMs } = route;
    this.#intervalMs = objectiveMs * WATCH_OBJECTIVES;
    this.#heardAt = attempt.startedAt;
    if (kind === 'repeatable') {
      this.#next = timer.after(objectiveMs * SILENCE_OBJECTIVES, () => onSilence('no answer'));
    } else if (kind === 'stream') {
      this.#next = timer.after(objectiveMs * OVERTAKEN_OBJECTIVES, () => this.#look());
    }
  }

  /** Notes an event of the stream. */
  heard(): void {
    this.#isBegun = true;
    this.#heardAt = this.#options.timer.now();
  }

  [Symbol.dispose](): void {
    this.#next?.[Symbol.dispose]();
    this.#next = undefined;
  }

  get #probeAfterMs(): number {
    const { objectiveMs, pauseMs } = this.#options.route;
    if (!this.#isBegun) return objectiveMs * PROBE_OBJECTIVES;
    return Math.max(LEAST_PAUSE_MS, pauseMs * PROBE_PAUSES);
  }

  #look(): void {
    const { timer, attempt, rank, onSilence } = this.#options;
    this.#next = timer.after(this.#intervalMs, () => this.#look());
    const { endpoint, startedAt } = attempt;
    if (!this.#isBegun && endpoint.hasOvertaken(rank, startedAt)) {
      onSilence('overtaken without an answer');
      return;
    }
    const isSilent = timer.now() - this.#heardAt >= this.#probeAfterMs;
    if (!isSilent || endpoint.heardSince(this.#heardAt)) return;
    endpoint.probe(() => {
      if (this.#next && !endpoint.heardSince(this.#heardAt)) onSilence('endpoint out of reach');
    });
  }
}
