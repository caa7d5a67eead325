import type { Journal, Metrics, Timer } from '@berylwood/base';
import type { PoolFigures } from '@berylwood/policy';
import type { EndpointDirectory } from './EndpointDirectory';
import { engineIdOf, type EngineModel } from './EngineModel';
import { gatewayEvents } from './events';

const INTERVAL_MS = 1000;

/** Factor by which a value must have changed to be logged again. */
const MIN_CHANGE = 1.25;

/** Lines about engines in one interval; the others follow in the next ones. */
const MAX_LINES = 8;

const SCALE = 1000;

const round = (value: number): number => Math.round(value * SCALE) / SCALE;

const hasChanged = (before: number, after: number): boolean =>
  Math.max(before / after, after / before) >= MIN_CHANGE;

/** @internal */
export interface EngineModelReportOptions {
  readonly engines: Pick<EngineModel, 'estimator'>;
  readonly directory: Pick<EndpointDirectory, 'endpoints'>;
  readonly timer: Timer;
  readonly journal: Journal;
  readonly metrics: Metrics;
}

/** Reports what is learnt about engines by metrics, and clear changes by log lines. @internal */
export class EngineModelReport implements Disposable {
  readonly #options: EngineModelReportOptions;

  readonly #speeds;

  readonly #prefill;

  readonly #events;

  readonly #updates: Disposable;

  /** Factors last logged, by pool. */
  #factors = new Map<string, number>();

  /** Speeds last logged, by key of the endpoint. */
  #logged = new Map<string, number>();

  constructor(options: EngineModelReportOptions) {
    this.#options = options;
    const { metrics, timer } = options;
    const speedHelp = 'Learnt speed of engines in relation to their pool: median, slowest, fastest';
    this.#speeds = metrics.gauge('engine_speed', speedHelp, ['pool', 'engine']);
    const prefillHelp = 'Learnt time of a prefill per prompt token, in milliseconds';
    this.#prefill = metrics.gauge('engine_prefill_ms_per_token', prefillHelp, ['pool']);
    const eventHelp =
      'Learnt time between events of a stream, in milliseconds, by concurrent prefill';
    this.#events = metrics.gauge('engine_event_ms', eventHelp, ['pool', 'prefill']);
    this.#updates = timer.every(INTERVAL_MS, () => this.#update());
  }

  [Symbol.dispose](): void {
    this.#updates[Symbol.dispose]();
  }

  #update(): void {
    const figures = this.#options.engines.estimator.figures();
    this.#speeds.reset();
    this.#prefill.reset();
    this.#events.reset();
    for (const [pool, itsFigures] of figures) this.#publish(pool, itsFigures);
    this.#factors = new Map(
      [...figures].map(([pool, itsFigures]) => [pool, this.#logPool(pool, itsFigures)]),
    );
    this.#logSpeeds();
  }

  #publish(pool: string, figures: PoolFigures): void {
    this.#speeds.set({ pool, engine: 'median' }, figures.medianSpeed);
    this.#speeds.set({ pool, engine: 'slowest' }, figures.slowestSpeed);
    this.#speeds.set({ pool, engine: 'fastest' }, figures.fastestSpeed);
    this.#prefill.set({ pool }, figures.prefillMsPerToken);
    const { eventMs, eventMsWhilePrefilling } = figures;
    if (eventMs !== undefined) this.#events.set({ pool, prefill: 'no' }, eventMs);
    if (eventMsWhilePrefilling !== undefined)
      this.#events.set({ pool, prefill: 'yes' }, eventMsWhilePrefilling);
  }

  /** Logs a clear change of the factor that placement uses; returns the one last logged. */
  #logPool(pool: string, { placementFactor, prefillMsPerToken }: PoolFigures): number {
    const before = this.#factors.get(pool) ?? 1;
    if (!hasChanged(before, placementFactor)) return before;
    this.#options.journal.record(gatewayEvents.prefillTimeLearnt, {
      pool,
      factor: round(placementFactor),
      msPerToken: round(prefillMsPerToken),
    });
    return placementFactor;
  }

  #logSpeeds(): void {
    const { engines, directory, journal } = this.#options;
    const logged = new Map<string, number>();
    let lines = 0;
    for (const endpoint of directory.endpoints) {
      const { key, listed } = endpoint;
      const speed = engines.estimator.placementSpeed(engineIdOf(endpoint));
      const before = this.#logged.get(key) ?? 1;
      const isLogged = hasChanged(before, speed) && lines < MAX_LINES;
      if (isLogged) {
        lines += 1;
        const fields = { endpoint: listed.id, pool: listed.pool, speed: round(speed) };
        journal.record(gatewayEvents.engineSpeedLearnt, fields);
      }
      if (isLogged || this.#logged.has(key)) logged.set(key, isLogged ? speed : before);
    }
    this.#logged = logged;
  }
}
