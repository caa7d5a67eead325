import type { Timer } from '@berylwood/base';
import { parseAddress } from '@berylwood/link';
import type { Registry } from './Registry';

/** Time after which an address received from another instance expires, in milliseconds. */
const RECEIVED_ADDRESS_TTL_MS = 10_000;

interface AddressBookOptions {
  /** Address at which other instances reach this one. */
  readonly address: string;
  readonly seeds: () => readonly string[];
  readonly registry: Pick<Registry, 'members'> | undefined;
  readonly timer: Timer;
}

/**
 * Known addresses of replicas: the seeds, which may be out of date or run no replica, the members
 * known to this instance's replica, and addresses recently received from other instances.
 * @internal
 */
export class AddressBook {
  readonly #options: AddressBookOptions;

  readonly #receivedAt = new Map<string, number>();

  constructor(options: AddressBookOptions) {
    this.#options = options;
  }

  /**
   * Replica addresses to send to other instances: the members known to this instance's replica, or
   * else the recently received addresses.
   */
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

  /** Adds addresses received from another instance; those that cannot be dialled are ignored. */
  addMembers(members: readonly string[]): void {
    const now = this.#options.timer.now();
    const addresses = members.flatMap((member) => parseAddress(member) ?? []);
    for (const address of addresses) this.#receivedAt.set(address, now);
  }

  get #recentMembers(): string[] {
    const oldest = this.#options.timer.now() - RECEIVED_ADDRESS_TTL_MS;
    for (const [member, at] of this.#receivedAt) if (at < oldest) this.#receivedAt.delete(member);
    return [...this.#receivedAt.keys()];
  }
}
