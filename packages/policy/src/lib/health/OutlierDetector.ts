/** Options of an outlier detector. @public */
export interface OutlierOptions {
  /** Factor over the median at which a member is ejected. Default 3. */
  readonly ejectFactor?: number;
  /** Factor over the median below which an ejected member is taken back. Default 1.5. */
  readonly returnFactor?: number;
  /** Largest part of the members that is ejected at a time. Default 0.3. */
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

/** Observations before a member is judged. */
const MIN_SAMPLES = 5;

/** Members with enough observations before anyone is judged: below it there is no norm. */
const MIN_MEMBERS = 3;

interface Member {
  average: number;
  samples: number;
  isEjected: boolean;
  probeAt: number;
}

/**
 * Finds members whose cost, such as milliseconds per token, is far above the median of the group.
 * The measure is relative: when all become slow together nobody is ejected. Ejected members are
 * probed now and then, and taken back by hysteresis.
 * @public
 */
export class OutlierDetector<Key> {
  readonly #options: Required<OutlierOptions>;

  readonly #members = new Map<Key, Member>();

  constructor(options: OutlierOptions = {}) {
    this.#options = { ...defaults, ...options };
  }

  /** Takes in one observed cost of a member, in any unit that is the same for all. */
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

  /** Judges all members anew; O(n log n), so it is called a few times a second at most. */
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

  /** Whether an ejected member should get one request, to see whether it has recovered. */
  isProbeDue(key: Key, now: number): boolean {
    const member = this.#members.get(key);
    return member !== undefined && member.isEjected && now >= member.probeAt;
  }

  /** A probe was sent. */
  probed(key: Key, now: number): void {
    const member = this.#members.get(key);
    if (member) member.probeAt = now + this.#options.probeIntervalMs;
  }
}
