import type { Timer } from '@berylwood/base';
import type { Registry } from './Registry';

/** Time for which an address counts that others have told, in milliseconds. */
const LEARNED_LIFE_MS = 10_000;

interface AddressBookOptions {
  /** Address of this instance between instances. */
  readonly address: string;
  readonly seeds: () => readonly string[];
  readonly registry: Pick<Registry, 'members'> | undefined;
  readonly timer: Timer;
}

/**
 * Where replicas are: the seeds, which may be out of date or without a replica, what the own replica
 * knows, and what other instances have told lately.
 * @internal
 */
export class AddressBook {
  readonly #options: AddressBookOptions;

  readonly #learned = new Map<string, number>();

  constructor(options: AddressBookOptions) {
    this.#options = options;
  }

  /** Addresses of replicas, to tell others: from the own replica, or else as told lately. */
  get members(): string[] {
    const own = this.#options.registry?.members ?? [];
    return own.length > 0 ? own : this.#recent;
  }

  /** Addresses to dial. */
  get wanted(): ReadonlySet<string> {
    const { seeds, registry, address } = this.#options;
    const wanted = new Set([...seeds(), ...(registry?.members ?? []), ...this.#recent]);
    wanted.delete(address);
    return wanted;
  }

  learn(members: readonly string[]): void {
    const now = this.#options.timer.now();
    for (const member of members) this.#learned.set(member, now);
  }

  get #recent(): string[] {
    const since = this.#options.timer.now() - LEARNED_LIFE_MS;
    for (const [member, at] of this.#learned) if (at < since) this.#learned.delete(member);
    return [...this.#learned.keys()];
  }
}
