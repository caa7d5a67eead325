import { DEFAULT_ENGINE_OPTIONS, type EngineOptions } from '../placement/chooseEngine';
import type { EngineSums } from './EngineRecord';
import { PoolEstimate } from './PoolEstimate';

/** A response to a prompt whose first event has arrived. @public */
export interface ObservedPrefill {
  /** Prompt tokens that were queued before it and its own. */
  readonly tokens: number;
  /** Its own prompt tokens. */
  readonly ownTokens: number;
  /** Time that the data sheet predicts for them, in milliseconds. */
  readonly dataSheetMs: number;
  /** Time from the request to its first event, in milliseconds. */
  readonly observedMs: number;
  /** Factor of the momentary figure, the larger one of the request's and the first event's time. */
  readonly momentary: number;
}

/** Speeds and times of a pool. @public */
export interface PoolFigures {
  readonly medianSpeed: number;
  readonly slowestSpeed: number;
  readonly fastestSpeed: number;
  readonly prefillMsPerToken: number;
  /** Factor of the data sheet's time of a prefill that placement uses. */
  readonly placementFactor: number;
  readonly eventMs: number | undefined;
  readonly eventMsWhilePrefilling: number | undefined;
}

/** An engine and its pool. @public */
export interface EngineId {
  readonly key: string;
  readonly pool: string;
}

/** Fewest tokens of an observed prefill: with less, waiting for a step and the network decide the time. */
const MIN_TOKENS = 1024;

/** Tokens from which an observed prefill has its full weight. */
const FULL_WEIGHT_TOKENS = 4096;

/** Longest time that is taken for a prefill or a gap: beyond it, an engine has stalled or crashed. */
const MAX_PREFILL_MS = 20_000;
const MAX_GAP_MS = 2000;

const MIN_GAP_MS = 1;

/** Momentary factor above which an observation says more about the moment than about the engine. */
const MAX_USUAL_MOMENTARY = 1.15;

/** Weight of an observation at an unusual moment. */
const UNUSUAL_WEIGHT = 0.25;

/** Largest part of the observed time that is taken for the steps of the first event itself. */
const MAX_EVENT_SHARE = 0.5;

/**
 * Estimates the speed of each engine in relation to its pool, and the pool's times of prefill and events, from
 * observations of all instances. Load pattern: pools whose engines are several times slower than their data
 * sheet, or uneven.
 *
 * All sums are of logarithms, so that twice as fast and twice as slow weigh the same; observations far from the
 * estimate are cut. An engine takes the place of its pool as the observations grow, and the pool that of
 * the data sheet.
 * @public
 */
export class EngineEstimator {
  readonly #options: EngineOptions;

  readonly #pools = new Map<string, PoolEstimate>();

  constructor(options: EngineOptions = DEFAULT_ENGINE_OPTIONS) {
    this.#options = options;
  }

  /** Adds the time of a prefill. Resumed streams must be left out: they prefill their response, too. */
  observePrefill({ key, pool }: EngineId, observed: ObservedPrefill, now: number): void {
    const { tokens, ownTokens, dataSheetMs, observedMs, momentary } = observed;
    if (tokens < MIN_TOKENS || dataSheetMs <= 0) return;
    if (!(observedMs > 0) || observedMs > MAX_PREFILL_MS) return;
    const estimate = this.#pool(pool);
    const eventMs = Math.min(estimate.eventMs('event') ?? 0, observedMs * MAX_EVENT_SHARE);
    // What was queued is known from a while ago; a prompt alone on its engine shows the speed best.
    const ownShare = Math.min(1, ownTokens / tokens);
    const isUsual = momentary <= MAX_USUAL_MOMENTARY;
    const weight =
      Math.min(1, tokens / FULL_WEIGHT_TOKENS) * (isUsual ? 1 : UNUSUAL_WEIGHT) * ownShare ** 2;
    estimate.observe(key, 'prefill', Math.log((observedMs - eventMs) / dataSheetMs), weight, now);
  }

  /** Adds the time between two events of a stream. */
  observeGap({ key, pool }: EngineId, gapMs: number, isPrefilling: boolean, now: number): void {
    if (!(gapMs >= MIN_GAP_MS) || gapMs > MAX_GAP_MS) return;
    const kind = isPrefilling ? 'eventWhilePrefilling' : 'event';
    this.#pool(pool).observe(key, kind, Math.log(gapMs), 1, now);
  }

  /** Computes the estimates, and forgets engines that are not in service any more. */
  update(engines: readonly EngineId[], now: number): void {
    const keys = new Map<string, Set<string>>();
    for (const { key, pool } of engines) {
      const ofPool = keys.get(pool) ?? new Set<string>();
      keys.set(pool, ofPool.add(key));
    }
    for (const [name, estimate] of this.#pools) {
      const listed = keys.get(name);
      if (!listed) this.#pools.delete(name);
      for (const key of estimate.engines.keys()) {
        if (!listed?.has(key)) estimate.engines.delete(key);
      }
      estimate.update(now);
    }
  }

  /** Estimated speed of an engine in relation to its pool. */
  speed({ key, pool }: EngineId): number {
    return Math.exp(this.#pools.get(pool)?.engines.get(key)?.speedLog ?? 0);
  }

  /** The same as placement uses it: 1 unless it differs clearly from that of the pool. */
  placementSpeed({ key, pool }: EngineId): number {
    return Math.exp(this.#pools.get(pool)?.engines.get(key)?.placementLog ?? 0);
  }

  /** Factor of the data sheet's time of a prefill that placement uses for a pool: 1 unless it differs clearly. */
  placementFactor(pool: string): number {
    return this.#pools.get(pool)?.placementFactor ?? 1;
  }

  /** Learnt factor of the data sheet's time of a prefill. */
  prefillFactor(pool: string): number {
    return this.#pools.get(pool)?.prefillFactor ?? 1;
  }

  /** Expected milliseconds per prompt token on an engine. */
  prefillMsPerToken(engine: EngineId): number {
    const { stepMs, chunkTokens } = this.#options;
    return ((stepMs / chunkTokens) * this.prefillFactor(engine.pool)) / this.speed(engine);
  }

  /** Milliseconds between events of a stream without prefill on the engine; undefined until learnt. */
  eventMs(pool: string): number | undefined {
    return this.#pools.get(pool)?.eventMs('event');
  }

  /** Milliseconds between events while the engine prefills all the time; undefined until learnt. */
  eventMsWhilePrefilling(pool: string): number | undefined {
    return this.#pools.get(pool)?.eventMs('eventWhilePrefilling');
  }

  /** Figures of the pools about which something is known. */
  figures(): Map<string, PoolFigures> {
    return new Map(
      [...this.#pools].map(([pool, estimate]) => [pool, this.#figuresOf(pool, estimate)]),
    );
  }

  /** Engines with observations that only this instance knows. */
  unshared(): EngineId[] {
    return this.#list(({ hasOwn }) => hasOwn);
  }

  /** All engines with observations. */
  known(): EngineId[] {
    return this.#list(() => true);
  }

  /** Returns observations that only this instance knows, and marks them as handed over. */
  takeUnshared({ key, pool }: EngineId, now: number): EngineSums {
    return this.#pool(pool).engine(key).takeOwn(now);
  }

  /** The sums of all instances. */
  sums({ key, pool }: EngineId, now: number): EngineSums {
    return this.#pool(pool).engine(key).allSums(now);
  }

  /** Adds what another instance has observed. */
  merge({ key, pool }: EngineId, sums: EngineSums, now: number): void {
    this.#pool(pool).engine(key).merge(sums, now);
  }

  /** Stores the sums of all instances, as merged by the leader. */
  replace({ key, pool }: EngineId, sums: EngineSums, now: number): void {
    this.#pool(pool).engine(key).replace(sums, now);
  }

  #pool(pool: string): PoolEstimate {
    const known = this.#pools.get(pool);
    if (known) return known;
    const added = new PoolEstimate();
    this.#pools.set(pool, added);
    return added;
  }

  #list(matches: (engine: { readonly hasOwn: boolean }) => boolean): EngineId[] {
    return [...this.#pools].flatMap(([pool, { engines }]) =>
      [...engines].filter(([, engine]) => matches(engine)).map(([key]) => ({ key, pool })),
    );
  }

  #figuresOf(pool: string, estimate: PoolEstimate): PoolFigures {
    const speeds = [...estimate.engines.values()]
      .map(({ speedLog }) => Math.exp(speedLog))
      .sort((a, b) => a - b);
    const { stepMs, chunkTokens } = this.#options;
    return {
      medianSpeed: speeds[Math.floor(speeds.length / 2)] ?? 1,
      slowestSpeed: speeds[0] ?? 1,
      fastestSpeed: speeds.at(-1) ?? 1,
      prefillMsPerToken: (stepMs / chunkTokens) * estimate.prefillFactor,
      placementFactor: this.placementFactor(pool),
      eventMs: estimate.eventMs('event'),
      eventMsWhilePrefilling: estimate.eventMs('eventWhilePrefilling'),
    };
  }
}
