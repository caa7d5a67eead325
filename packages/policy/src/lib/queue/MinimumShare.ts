import type { RequestClass } from '@berylwood/schema';

/** Service account of one class. */
interface ClassAccount {
  readonly minimumShare: number;
  readonly maxWaitMs: number;
  /** Guaranteed work that has not been served yet, in tokens. */
  deficit: number;
  /** Maximum deficit: the work of a few requests of the class. */
  cap: number;
  /** Time of the latest arrival; undefined before the first. */
  lastArrivalAt: number | undefined;
  /** Start of the current period with demand but no service; undefined without demand. */
  unservedSince: number | undefined;
}

/** Maximum guaranteed work that a class accumulates, in requests. */
const MAX_SAVED_REQUESTS = 2;

/** Fraction of the maximum wait after which a class without any service is due. */
const UNSERVED_FRACTION = 0.25;

const UNKNOWN_CLASS: Pick<RequestClass, 'minimumShare' | 'maxWaitMs'> = {
  minimumShare: 0.01,
  maxWaitMs: 60_000,
};

/**
 * Guaranteed minimum share of each class, kept as a deficit counter. While a class has demand, each
 * unit of work served to any class adds its minimum share to its deficit. A class is due when the
 * deficit covers its next request, or after a quarter of its maximum wait without any service.
 * @internal
 */
export class MinimumShare {
  readonly #accounts = new Map<string, ClassAccount>();

  #classes: Readonly<Record<string, RequestClass>> = {};

  configure(classes: Readonly<Record<string, RequestClass>>): void {
    this.#classes = classes;
    for (const [name, account] of this.#accounts) {
      this.#accounts.set(name, { ...account, ...this.#guaranteeOf(name) });
    }
  }

  /** Records the arrival of a request of the class, with its expected work in tokens. */
  arrived(name: string, work: number, now: number): void {
    const account = this.#accountOf(name);
    account.lastArrivalAt = now;
    account.unservedSince ??= now;
    account.cap = Math.max(
      MAX_SAVED_REQUESTS * work,
      Math.min(account.cap, MAX_SAVED_REQUESTS ** 2 * work),
    );
  }

  /** Records the start of a request of the class, with its expected work in tokens. */
  served(name: string, work: number, now: number, isStillWaiting: boolean): void {
    for (const account of this.#accounts.values()) {
      if (!MinimumShare.#hasDemand(account, now)) continue;
      account.deficit = Math.min(account.cap, account.deficit + account.minimumShare * work);
    }
    const servedAccount = this.#accountOf(name);
    servedAccount.deficit = Math.max(0, servedAccount.deficit - work);
    servedAccount.unservedSince = isStillWaiting ? now : undefined;
  }

  /** Whether the next request of the class is due now, given its expected work in tokens. */
  isDue(name: string, work: number, now: number): boolean {
    const account = this.#accounts.get(name);
    if (!account) return false;
    if (account.deficit >= work) return true;
    return now >= MinimumShare.#dueAt(account);
  }

  /** Latest time at which a waiting class becomes due, in milliseconds. */
  dueAt(name: string): number {
    const account = this.#accounts.get(name);
    return account ? MinimumShare.#dueAt(account) : Infinity;
  }

  static #dueAt(account: ClassAccount): number {
    return (account.unservedSince ?? Infinity) + UNSERVED_FRACTION * account.maxWaitMs;
  }

  static #hasDemand(account: ClassAccount, now: number): boolean {
    return account.lastArrivalAt !== undefined && now - account.lastArrivalAt <= account.maxWaitMs;
  }

  #guaranteeOf(name: string): Pick<RequestClass, 'minimumShare' | 'maxWaitMs'> {
    const { minimumShare, maxWaitMs } = this.#classes[name] ?? UNKNOWN_CLASS;
    return { minimumShare, maxWaitMs };
  }

  #accountOf(name: string): ClassAccount {
    const known = this.#accounts.get(name);
    if (known) return known;
    const account: ClassAccount = {
      ...this.#guaranteeOf(name),
      deficit: 0,
      cap: 0,
      lastArrivalAt: undefined,
      unservedSince: undefined,
    };
    this.#accounts.set(name, account);
    return account;
  }
}
