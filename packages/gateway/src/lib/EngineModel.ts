import type { Timer } from '@berylwood/base';
import {
  DEFAULT_ENGINE_OPTIONS,
  EngineEstimator,
  type EngineId,
  type EngineOptions,
  type EngineView,
  type ObservedPrefill,
} from '@berylwood/policy';
import type { Endpoint } from './Endpoint';
import type { EndpointDirectory } from './EndpointDirectory';
import type { PoolName } from './ids';

/** Interval at which the estimates are computed from the observations, in milliseconds. */
const UPDATE_INTERVAL_MS = 500;

/** Identifies an engine for the estimator. @internal */
export function engineIdOf({ key, listed }: Pick<Endpoint, 'key' | 'listed'>): EngineId {
  return { key, pool: listed.pool };
}

/** What this instance has learnt about the engines, from its own observations and from others. @internal */
export class EngineModel implements Disposable {
  readonly estimator = new EngineEstimator();

  readonly #timer: Timer;

  readonly #updates: Disposable;

  constructor(directory: EndpointDirectory, timer: Timer) {
    this.#timer = timer;
    this.#updates = timer.every(UPDATE_INTERVAL_MS, () =>
      this.estimator.update(directory.endpoints.map(engineIdOf), timer.now()),
    );
  }

  /** Learns from the first event of a stream. */
  observePrefill(endpoint: Endpoint, observed: ObservedPrefill): void {
    this.estimator.observePrefill(engineIdOf(endpoint), observed, this.#timer.now());
  }

  /** Learns from the time between two events of a stream. */
  observeGap(endpoint: Endpoint, gapMs: number, isPrefilling: boolean): void {
    this.estimator.observeGap(engineIdOf(endpoint), gapMs, isPrefilling, this.#timer.now());
  }

  /** Figures of an engine for placement. */
  figuresOf(endpoint: Endpoint): Required<Pick<EngineView, 'speed' | 'momentary'>> {
    const speed = this.estimator.placementSpeed(engineIdOf(endpoint));
    return { speed, momentary: endpoint.momentary.factorAt(this.#timer.now()) };
  }

  /** Options of the choice of an engine of a pool. */
  optionsOf(pool: PoolName): EngineOptions {
    const prefillFactor = this.estimator.placementFactor(pool);
    return { ...DEFAULT_ENGINE_OPTIONS, prefillFactor };
  }

  /** Milliseconds between events of a pool's streams while the engine prefills; undefined until learnt. */
  eventMsWhilePrefilling(pool: PoolName): number | undefined {
    return this.estimator.eventMsWhilePrefilling(pool);
  }

  /** Expected milliseconds per prompt token on an engine. */
  prefillMsPerToken(endpoint: Endpoint): number {
    return this.estimator.prefillMsPerToken(engineIdOf(endpoint));
  }

  [Symbol.dispose](): void {
    this.#updates[Symbol.dispose]();
  }
}
