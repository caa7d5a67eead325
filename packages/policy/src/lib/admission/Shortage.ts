/** Fraction of the objective that the prefill of the queue takes at the start of a shortage, and is held at. */
const TARGET_SHARE = 0.2;

/** Demand in relation to the capacity from which on a shortage begins. */
const BEGIN_DEMAND = 1.02;

/** Demand in relation to the capacity below which a shortage ends. */
const END_DEMAND = 0.95;

/** Fraction of the objective below which the queue shows that there is capacity left. */
const IDLE_SHARE = 0.05;

/** Time for which a shortage has to seem over, in milliseconds. */
const END_MS = 500;

/** Time in which a difference of the queue from its target is corrected, in milliseconds. */
const CORRECTION_MS = 1000;

/** Limits of the correction, as factors of the capacity. */
const MIN_CORRECTION = 0.5;

const MAX_CORRECTION = 1.25;

/** Load of a pool that decides whether there is a shortage. @public */
export interface ShortageInput {
  readonly capacityPerS: number;
  /** Prompt tokens per second of all requests, whether or not they were admitted. */
  readonly askedPerS: number;
  /** Prompt tokens that wait for prefill. */
  readonly queuedTokens: number;
  /** Objective of the least urgent route of the pool, in milliseconds. */
  readonly objectiveMs: number;
}

/**
 * Whether more prompt tokens arrive at a pool than its engines prefill. It begins and ends at different loads,
 * since a load close to the capacity would otherwise switch it with every report.
 * @public
 */
export class Shortage {
  #isActive: boolean;

  #overSince: number | undefined;

  /** @param isActive whether there was a shortage before, as known from another leader */
  constructor(isActive = false) {
    this.#isActive = isActive;
  }

  update(input: ShortageInput, now: number): boolean {
    const { capacityPerS, askedPerS, objectiveMs } = input;
    const backlog = backlogMs(input);
    if (!this.#isActive) {
      const isShort = askedPerS > capacityPerS * BEGIN_DEMAND;
      this.#isActive = capacityPerS > 0 && isShort && backlog >= objectiveMs * TARGET_SHARE;
      this.#overSince = undefined;
      return this.#isActive;
    }
    const isOver = askedPerS < capacityPerS * END_DEMAND || backlog < objectiveMs * IDLE_SHARE;
    if (isOver) this.#overSince ??= now;
    else this.#overSince = undefined;
    if (this.#overSince !== undefined && now - this.#overSince >= END_MS) this.#isActive = false;
    return this.#isActive;
  }
}

/** Time in which the queue of a pool is prefilled, in milliseconds. @public */
export function backlogMs({
  capacityPerS,
  queuedTokens,
}: Pick<ShortageInput, 'capacityPerS' | 'queuedTokens'>): number {
  return capacityPerS > 0 ? (queuedTokens / capacityPerS) * 1000 : 0;
}

/** Time by which the queue of a pool exceeds its target, in milliseconds; negative if it is shorter. @public */
export function excessMs(input: ShortageInput): number {
  return backlogMs(input) - input.objectiveMs * TARGET_SHARE;
}

/** Prompt tokens per second to admit, such that the queue approaches its target. @public */
export function admissiblePerS(input: ShortageInput): number {
  const correction = 1 - excessMs(input) / CORRECTION_MS;
  return input.capacityPerS * Math.min(MAX_CORRECTION, Math.max(MIN_CORRECTION, correction));
}
