import { DecayedSums, NO_SUMS, addSums, type LogSums } from './DecayedSums';

/** What is learnt about an engine. @public */
export const OBSERVATION_KINDS = ['prefill', 'event', 'eventWhilePrefilling'] as const;

/**
 * - `prefill`: time of a prefill, as a factor of what the data sheet predicts
 * - `event`: milliseconds between two events of a stream without prefill on the engine
 * - `eventWhilePrefilling`: the same while the engine prefills prompts all the time
 * @public
 */
export type ObservationKind = (typeof OBSERVATION_KINDS)[number];

/** Sums of the observations of an engine, by kind in the order of `OBSERVATION_KINDS`. @public */
export type EngineSums = readonly [prefill: LogSums, event: LogSums, whilePrefilling: LogSums];

/**
 * Time after which an observation counts half, in milliseconds. Speeds last, so that of an engine rests on
 * about 40 s of observations. Times between events also depend on the number of requests, which changes sooner.
 */
const HALF_LIFE_MS: Record<ObservationKind, number> = {
  prefill: 30_000,
  event: 10_000,
  eventWhilePrefilling: 10_000,
};

const createSums = (): DecayedSums[] =>
  OBSERVATION_KINDS.map((kind) => new DecayedSums(HALF_LIFE_MS[kind]));

/** Observations of one engine: those of all instances, and those of this one that no other knows. @internal */
export class EngineRecord {
  readonly #all = createSums();

  readonly #own = createSums();

  /** Logarithm of the factor of speed that placement uses. */
  placementLog = 0;

  /** Logarithm of the estimated factor of speed. */
  speedLog = 0;

  observe(kind: ObservationKind, sums: LogSums, now: number): void {
    const at = OBSERVATION_KINDS.indexOf(kind);
    this.#all[at]?.add(sums, now);
    this.#own[at]?.add(sums, now);
  }

  sums(kind: ObservationKind, now: number): LogSums {
    return this.#all[OBSERVATION_KINDS.indexOf(kind)]?.at(now) ?? NO_SUMS;
  }

  /** Sums of all instances. */
  allSums(now: number): EngineSums {
    return this.#all.map((sums) => sums.at(now)) as unknown as EngineSums;
  }

  /** Whether this instance has observations that it has not handed over. */
  get hasOwn(): boolean {
    return this.#own.some((sums) => sums.at(-Infinity)[0] > 0);
  }

  /** Returns the observations that no other instance knows, which then count as handed over. */
  takeOwn(now: number): EngineSums {
    const sums = this.#own.map((item) => item.at(now)) as unknown as EngineSums;
    this.#own.forEach((item) => item.set(NO_SUMS, now));
    return sums;
  }

  /** Adds what another instance has handed over. */
  merge(sums: EngineSums, now: number): void {
    this.#all.forEach((item, at) => item.add(sums[at] ?? NO_SUMS, now));
  }

  /** Replaces the sums of all instances by newer ones, which lack what was not handed over. */
  replace(sums: EngineSums, now: number): void {
    this.#all.forEach((item, at) =>
      item.set(addSums(sums[at] ?? NO_SUMS, this.#own[at]?.at(now) ?? NO_SUMS), now),
    );
  }
}
