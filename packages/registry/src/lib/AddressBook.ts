import type { Timer } from '@berylwood/base';
import type { Registry } from './Registry';

/** Time for which an address counts that others have told, in milliseconds. */
const RECEIVED_ADDRESS_TTL_MS = 10_000;

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

  readonly #receivedAt = new Map<string, number>();

  constructor(options: AddressBookOptions) {
    this.#options = options;
  }

  /** Addresses of replicas, to tell others: from the own replica, or else as told lately. */
  get members(): string[] {
    const ownMembers = this.#options.registry?.members ?? [];
    return ownMembers.length > 0 ? ownMembers : this.#recentMembers;
  }

  /** Addresses to dial. */
  get dialTargets(): ReadonlySet<string> {
    const { seeds, registry, address } = this.#options;
    const targets = new Set([...seeds(), ...(registry?.members ?? []), ...this.#recentMembers]);
    targets.delete(address);
    return targets;
  }

  addMembers(members: readonly string[]): void {
    const now = this.#options.timer.now();
    for (const member of members) this.#receivedAt.set(member, now);
  }

  get #recentMembers(): string[] {
    const oldest = this.#options.timer.now() - RECEIVED_ADDRESS_TTL_MS;
    for (const [member, at] of this.#receivedAt) if (at < oldest) this.#receivedAt.delete(member);
    return [...this.#receivedAt.keys()];
  }
}
