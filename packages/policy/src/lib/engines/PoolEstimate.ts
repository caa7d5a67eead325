import type { LogSums } from './DecayedSums';
import { EngineRecord, type ObservationKind } from './EngineRecord';

/** Factors between the data sheet and what is learnt that count as none: earlier deployments are within. */
const MIN_PREFILL_LOG = Math.log(1.5);

/** A factor in use is given up below this one, so that it is not switched on and off. */
const MIN_USED_PREFILL_LOG = Math.log(1.35);

/** Observations of a pool without which the data sheet holds. */
const MIN_PREFILL_WEIGHT = 8;

/** Events of a pool without which the time between events is unknown. */
const MIN_EVENT_WEIGHT = 20;

/** Speeds within 0.85 to 1.15 count as equal; one in use is given up within 0.88 to 1.13. */
const MIN_SPEED_LOG = -Math.log(0.85);
const MIN_USED_SPEED_LOG = 0.125;

/**
 * Standard errors by which a speed must differ. With 37 engines, two would show some equal engine as
 * different most of the time.
 */
const MIN_STANDARD_ERRORS = 3;

/** Change of a value in use that is followed, as a logarithm: about 7%. */
const MIN_CHANGE_LOG = 0.07;

/** Variance of the logarithms of the speeds in an uneven pool: 0.6 to 1.6 has 0.16. */
const SPEED_VARIANCE = 0.2;

/** Variance of one observation until enough are known, and its bounds. */
const PRIOR_VARIANCE = 0.25;
const PRIOR_VARIANCE_WEIGHT = 10;
const MIN_VARIANCE = 0.02;

/** Logarithm beyond which observations of an unknown pool are cut: a factor of 16. */
const UNKNOWN_CLIP = Math.log(16);

/**
 * Logarithms above and below the expected value beyond which observed prefills are cut. Much more often than too
 * short, a prefill is too long, by prompts that the instance could not know of and by periods of slow work.
 * In a simulation with views that are 100 to 500 ms old, the learnt time per token was 2% to 14% too high.
 */
const PREFILL_CLIP_ABOVE = 0.25;
const PREFILL_CLIP_BELOW = 0.5;

/** The same for the time between events, in both directions. */
const EVENT_CLIP = Math.log(2.5);

function clip(value: number, centre: number, below: number, above = below): number {
  return Math.min(centre + above, Math.max(centre - below, value));
}

/** Factor between the learnt and the data sheet's prefill time that placement uses, given the one in use. */
function nextPlacementLog(used: number, learnt: number): number {
  const minimum = used === 0 ? MIN_PREFILL_LOG : MIN_USED_PREFILL_LOG;
  if (Math.abs(learnt) < minimum) return 0;
  return Math.abs(learnt - used) < MIN_CHANGE_LOG ? used : learnt;
}

/** What is learnt about the engines of one pool. @internal */
export class PoolEstimate {
  readonly engines = new Map<string, EngineRecord>();

  /** Observed prefills, decayed. */
  #prefillWeight = 0;

  /** Logarithm of the mean factor between observed and predicted times of a prefill. */
  #prefillLog = 0;

  #placementLog = 0;

  #eventLogs: Record<ObservationKind, number | undefined> = {
    prefill: undefined,
    event: undefined,
    eventWhilePrefilling: undefined,
  };

  engine(key: string): EngineRecord {
    const known = this.engines.get(key);
    if (known) return known;
    const added = new EngineRecord();
    this.engines.set(key, added);
    return added;
  }

  /** Learnt factor of the time of a prefill against the data sheet; 1 until enough is observed. */
  get prefillFactor(): number {
    return this.#isKnown ? Math.exp(this.#prefillLog) : 1;
  }

  /** The same as placement uses it: 1 unless it differs clearly. */
  get placementFactor(): number {
    return Math.exp(this.#placementLog);
  }

  /** Mean time between events in milliseconds, undefined until enough are observed. */
  eventMs(kind: 'event' | 'eventWhilePrefilling'): number | undefined {
    const log = this.#eventLogs[kind];
    return log === undefined ? undefined : Math.exp(log);
  }

  /** Adds the logarithm of an observation, cut off if it is far from what is expected. */
  observe(key: string, kind: ObservationKind, log: number, weight: number, now: number): void {
    const engine = this.engine(key);
    const value = this.#clip(engine, kind, log);
    engine.observe(kind, [weight, weight * value, weight * value * value], now);
  }

  /** Computes the estimates from the sums. */
  update(now: number): void {
    this.#updateSpeeds(now);
    this.#eventLogs.event = this.#meanLog('event', now);
    this.#eventLogs.eventWhilePrefilling = this.#meanLog('eventWhilePrefilling', now);
  }

  get #isKnown(): boolean {
    return this.#prefillWeight >= MIN_PREFILL_WEIGHT;
  }

  #clip(engine: EngineRecord, kind: ObservationKind, log: number): number {
    if (kind === 'prefill') {
      if (!this.#isKnown) return clip(log, 0, UNKNOWN_CLIP);
      const centre = this.#prefillLog - engine.speedLog;
      return clip(log, centre, PREFILL_CLIP_BELOW, PREFILL_CLIP_ABOVE);
    }
    const centre = this.#eventLogs[kind];
    return centre === undefined ? log : clip(log, centre - engine.speedLog, EVENT_CLIP);
  }

  #meanLog(kind: ObservationKind, now: number): number | undefined {
    let weight = 0;
    let sum = 0;
    for (const engine of this.engines.values()) {
      const [itsWeight, itsSum] = engine.sums(kind, now);
      weight += itsWeight;
      sum += itsSum;
    }
    return weight < MIN_EVENT_WEIGHT ? undefined : sum / weight;
  }

  #updateSpeeds(now: number): void {
    const observed = [...this.engines.values()].map((engine): [EngineRecord, LogSums] => [
      engine,
      engine.sums('prefill', now),
    ]);
    this.#prefillWeight = observed.reduce((sum, [, [weight]]) => sum + weight, 0);
    if (!this.#isKnown) {
      this.#placementLog = 0;
      for (const [engine] of observed) Object.assign(engine, { speedLog: 0, placementLog: 0 });
      return;
    }
    let weights = 0;
    let levels = 0;
    let squares = PRIOR_VARIANCE * PRIOR_VARIANCE_WEIGHT;
    let freedom = PRIOR_VARIANCE_WEIGHT;
    for (const [, [weight, sum, sumOfSquares]] of observed) {
      // A busy engine must not outweigh the others: each counts at most once.
      const share = weight / (weight + 1);
      weights += share;
      levels += weight > 0 ? (share * sum) / weight : 0;
      squares += weight > 0 ? Math.max(0, sumOfSquares - (sum * sum) / weight) : 0;
      freedom += Math.max(0, weight - 1);
    }
    this.#prefillLog = levels / weights;
    const variance = Math.max(MIN_VARIANCE, squares / freedom);
    for (const [engine, sums] of observed) this.#updateSpeed(engine, sums, variance);
    this.#placementLog = nextPlacementLog(this.#placementLog, this.#prefillLog);
  }

  #updateSpeed(engine: EngineRecord, [weight, sum]: LogSums, variance: number): void {
    const record = engine;
    if (weight <= 0) {
      Object.assign(record, { speedLog: 0, placementLog: 0 });
      return;
    }
    // With few observations, the engine is assumed to be like the pool.
    const trust = SPEED_VARIANCE / (SPEED_VARIANCE + variance / weight);
    record.speedLog = trust * (this.#prefillLog - sum / weight);
    const standardError = Math.sqrt(variance / weight);
    const used = record.placementLog;
    const minimum =
      used === 0
        ? Math.max(MIN_SPEED_LOG, MIN_STANDARD_ERRORS * standardError)
        : MIN_USED_SPEED_LOG;
    if (Math.abs(record.speedLog) < minimum) record.placementLog = 0;
    else if (Math.abs(record.speedLog - used) >= MIN_CHANGE_LOG)
      record.placementLog = record.speedLog;
  }
}
