/** Options of an outlier detector. @public */
export interface OutlierOptions {
  /** Multiple of the median above which a member is ejected. Default 3. */
  readonly ejectFactor?: number;
  /** Multiple of the median at or below which an ejected member returns to service. Default 1.5. */
  readonly returnFactor?: number;
  /** Maximum fraction of the members that is ejected at a time. Default 0.3. */
  readonly maxEjected?: number;
  /** Time between probes of an ejected member, in milliseconds. Default 5000. */
  readonly probeIntervalMs?: number;
}

const defaults: Required<OutlierOptions> = {
  ejectFactor: 3,
  returnFactor: 1.5,
  maxEjected: 0.3,
  probeIntervalMs: 5_000,
};

/** Weight of a new observation in the moving average. */
const SMOOTHING = 0.3;

/** Minimum number of observations before a member is evaluated. */
const MIN_SAMPLES = 5;

/** Minimum number of members with enough observations. The median of fewer is not meaningful. */
const MIN_MEMBERS = 3;

interface Member {
  average: number;
  samples: number;
  isEjected: boolean;
  probeAt: number;
}

/**
 * Ejects members whose cost, such as milliseconds per token, is far above the median of the group.
 * The criterion is relative, so no member is ejected when all become slow together. Ejected members
 * are probed at intervals and return to service at a lower threshold than the one for ejection
 * (hysteresis).
 * @public
 */
export class OutlierDetector<Key> {
  readonly #options: Required<OutlierOptions>;

  readonly #members = new Map<Key, Member>();

  constructor(options: OutlierOptions = {}) {
    this.#options = { ...defaults, ...options };
  }

  /** Records an observed cost of a member. All members must use the same unit. */
  observe(key: Key, cost: number, now: number): void {
    const member = this.#members.get(key);
    if (!member) {
      this.#members.set(key, { average: cost, samples: 1, isEjected: false, probeAt: now });
      return;
    }
    member.samples += 1;
    member.average += SMOOTHING * (cost - member.average);
  }

  delete(key: Key): void {
    this.#members.delete(key);
  }

  /** Evaluates all members. Called at most a few times per second, since it takes O(n log n). */
  evaluate(now: number): void {
    const evaluated = [...this.#members.values()].filter(({ samples }) => samples >= MIN_SAMPLES);
    if (evaluated.length < MIN_MEMBERS) return;
    evaluated.sort((a, b) => b.average - a.average);
    const median = (evaluated[Math.floor(evaluated.length / 2)] as Member).average;
    let ejected = evaluated.filter(({ isEjected }) => isEjected).length;
    const limit = Math.floor(this.#options.maxEjected * evaluated.length);
    for (const member of evaluated) {
      if (member.isEjected && member.average <= this.#options.returnFactor * median) {
        member.isEjected = false;
        ejected -= 1;
      } else if (
        !member.isEjected &&
        ejected < limit &&
        member.average > this.#options.ejectFactor * median
      ) {
        member.isEjected = true;
        member.probeAt = now + this.#options.probeIntervalMs;
        ejected += 1;
      }
    }
  }

  isEjected(key: Key): boolean {
    return this.#members.get(key)?.isEjected ?? false;
  }

  /** Whether an ejected member should get one request as a probe for recovery. */
  isProbeDue(key: Key, now: number): boolean {
    const member = this.#members.get(key);
    return member !== undefined && member.isEjected && now >= member.probeAt;
  }

  /** Records a sent probe and schedules the next one. */
  probed(key: Key, now: number): void {
    const member = this.#members.get(key);
    if (member) member.probeAt = now + this.#options.probeIntervalMs;
  }
}
