import type { Timer } from '@berylwood/base';
import type { Endpoint } from './Endpoint';
import type { Route } from './RoutingConfiguration';

/** Multiple of the objective without an answer after which a repeatable call goes elsewhere. */
const NO_RESPONSE_OBJECTIVES = 2;

/** Multiple of the objective after which a silent stream that others have overtaken goes elsewhere. */
const OVERTAKEN_OBJECTIVES = 0.5;

/** Multiple of the objective after which the endpoint of a stream without an event is probed. */
const PROBE_OBJECTIVES = 0.75;

/** Multiple of its longest pause in time after which the endpoint of a running stream is probed. */
const PROBE_PAUSES = 3;

/** Shortest silence of a running stream that is looked into, in milliseconds. */
const MIN_PAUSE_MS = 400;

/** Interval at which a stream is looked at, as a multiple of the objective. */
const CHECK_INTERVAL_OBJECTIVES = 0.125;

/** An attempt as a watch sees it. */
interface WatchedAttempt {
  readonly startedAt: number;
  readonly endpoint: Pick<Endpoint, 'hasOvertaken' | 'seenSince' | 'probe'>;
}

/** What a watch needs to know. @internal */
export interface StallDetectorOptions {
  readonly timer: Timer;
  readonly attempt: WatchedAttempt;
  readonly route: Pick<Route, 'kind' | 'objectiveMs' | 'pauseMs'>;
  readonly rank: number;
  /** Called when the answer is probably lost; the watch goes on. */
  readonly onStall: (reason: string) => void;
}

/**
 * Watches an attempt for silence. Load patterns:
 * - An endpoint runs a request and its answer is lost, while it serves others. A stream counts as
 *   lost only once later ones have begun there, since in a burst all are slow.
 * - An endpoint goes dark with all its streams, begun or not. Nothing is heard from it any more,
 *   which on an instance with few requests may be chance; a new connection tells.
 * @internal
 */
export class StallDetector implements Disposable {
  readonly #options: StallDetectorOptions;

  readonly #intervalMs: number;

  #nextCheck: Disposable | undefined;

  /** Whether an event has come. */
  #hasStarted = false;

  #lastEventAt: number;

  constructor(options: StallDetectorOptions) {
    this.#options = options;
    const { timer, route, attempt, onStall } = options;
    const { kind, objectiveMs } = route;
    this.#intervalMs = objectiveMs * CHECK_INTERVAL_OBJECTIVES;
    this.#lastEventAt = attempt.startedAt;
    if (kind === 'repeatable') {
      this.#nextCheck = timer.after(objectiveMs * NO_RESPONSE_OBJECTIVES, () =>
        onStall('no answer'),
      );
    } else if (kind === 'stream') {
      this.#nextCheck = timer.after(objectiveMs * OVERTAKEN_OBJECTIVES, () => this.#check());
    }
  }

  /** Notes an event of the stream. */
  eventReceived(): void {
    this.#hasStarted = true;
    this.#lastEventAt = this.#options.timer.now();
  }

  [Symbol.dispose](): void {
    this.#nextCheck?.[Symbol.dispose]();
    this.#nextCheck = undefined;
  }

  get #probeAfterMs(): number {
    const { objectiveMs, pauseMs } = this.#options.route;
    if (!this.#hasStarted) return objectiveMs * PROBE_OBJECTIVES;
    return Math.max(MIN_PAUSE_MS, pauseMs * PROBE_PAUSES);
  }

  #check(): void {
    const { timer, attempt, rank, onStall } = this.#options;
    this.#nextCheck = timer.after(this.#intervalMs, () => this.#check());
    const { endpoint, startedAt } = attempt;
    if (!this.#hasStarted && endpoint.hasOvertaken(rank, startedAt)) {
      onStall('overtaken without an answer');
      return;
    }
    const isSilent = timer.now() - this.#lastEventAt >= this.#probeAfterMs;
    if (!isSilent || endpoint.seenSince(this.#lastEventAt)) return;
    endpoint.probe(() => {
      if (this.#nextCheck && !endpoint.seenSince(this.#lastEventAt))
        onStall('endpoint out of reach');
    });
  }
}
