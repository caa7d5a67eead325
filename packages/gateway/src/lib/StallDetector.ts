import type { Timer } from '@berylwood/base';
import type { Endpoint } from './Endpoint';
import type { Route } from './RoutingConfiguration';

/** Multiple of the objective without a response after which a repeatable call is reported as stalled. */
const NO_RESPONSE_OBJECTIVES = 2;

/** Multiple of the objective after which a stream without an event is reported if it was overtaken. */
const OVERTAKEN_OBJECTIVES = 0.5;

/** Multiple of the objective without an event after which the endpoint of a new stream is probed. */
const PROBE_OBJECTIVES = 0.75;

/** Multiple of the route's `pauseMs` without an event after which a running stream's endpoint is probed. */
const PROBE_PAUSES = 3;

/** Minimum time without an event before a running stream's endpoint is probed, in milliseconds. */
const MIN_PAUSE_MS = 400;

/**
 * Time without an event after which a running stream counts as lost although its endpoint lives: multiples
 * of the objective and of the route's `pauseMs`, whichever is longer, and a minimum in milliseconds. A sound
 * stream that shares its engine with long prompts pauses for a small part of it; callers wait about twice
 * as long.
 */
const LOST_OBJECTIVES = 2;
const LOST_PAUSES = 4;
const MIN_LOST_MS = 1000;

/** Interval between checks of a stream, as a multiple of the objective. */
const CHECK_INTERVAL_OBJECTIVES = 0.125;

/** The parts of an attempt that the detector uses. */
interface WatchedAttempt {
  readonly startedAt: number;
  readonly endpoint: Pick<Endpoint, 'hasOvertaken' | 'seenSince' | 'probe'>;
}

/** @internal */
export interface StallDetectorOptions {
  readonly timer: Timer;
  readonly attempt: WatchedAttempt;
  readonly route: Pick<Route, 'kind' | 'objectiveMs' | 'pauseMs'>;
  readonly rank: number;
  /** Called when the response is probably lost; may be called again, as checks of a stream continue. */
  readonly onStall: (reason: string) => void;
}

/**
 * Detects that the response to an attempt has stalled. Load patterns:
 * - An endpoint runs a request and its response is lost, while the endpoint serves other requests. A
 *   stream counts as lost only once later streams have started on the endpoint, since in a burst all
 *   streams are slow.
 * - An endpoint ends a running stream without closing its connection, or sends bytes but no more events,
 *   while it serves other requests. Only the events of the stream itself show that it is alive.
 * - An endpoint becomes unreachable with all its streams, started or not. No data is received from it,
 *   which can be chance on an instance with few requests, so a connection probe decides.
 * @internal
 */
export class StallDetector implements Disposable {
  readonly #options: StallDetectorOptions;

  readonly #intervalMs: number;

  #nextCheck: Disposable | undefined;

  /** Whether an event was received. */
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

  /** Records an event of the stream. */
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

  get #lostAfterMs(): number {
    const { objectiveMs, pauseMs } = this.#options.route;
    return Math.max(MIN_LOST_MS, objectiveMs * LOST_OBJECTIVES, pauseMs * LOST_PAUSES);
  }

  #check(): void {
    const { timer, attempt, rank, onStall } = this.#options;
    this.#nextCheck = timer.after(this.#intervalMs, () => this.#check());
    const { endpoint, startedAt } = attempt;
    if (!this.#hasStarted && endpoint.hasOvertaken(rank, startedAt)) {
      onStall('overtaken without an answer');
      return;
    }
    const silenceMs = timer.now() - this.#lastEventAt;
    if (this.#hasStarted && silenceMs >= this.#lostAfterMs) {
      onStall('no event while its endpoint serves others');
      return;
    }
    const isSilent = silenceMs >= this.#probeAfterMs;
    if (!isSilent || endpoint.seenSince(this.#lastEventAt)) return;
    endpoint.probe(() => {
      if (this.#nextCheck && !endpoint.seenSince(this.#lastEventAt))
        onStall('endpoint out of reach');
    });
  }
}
