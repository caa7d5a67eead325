import type { Incarnation } from './ids';
import { EMPTY_MEMBERSHIP, type Member, type Membership } from './Membership';

interface MembershipVersion {
  readonly index: number;
  readonly membership: Membership;
}

/** Memberships in the log. The latest one takes effect when appended, not committed. @internal */
export class MembershipHistory {
  #versions: MembershipVersion[] = [{ index: 0, membership: EMPTY_MEMBERSHIP }];

  /** The membership in effect. */
  get latest(): Membership {
    return this.#last.membership;
  }

  /** Index of the entry or snapshot with the latest membership; 0 if there is none. */
  get latestIndex(): number {
    return this.#last.index;
  }

  /** Adds the membership of a new entry, and drops those from its index on. */
  add(index: number, membership: Membership): void {
    this.truncate(index);
    this.#versions.push({ index, membership });
  }

  /** Drops the memberships of entries from an index on. */
  truncate(index: number): void {
    this.#versions = this.#versions.filter((item) => item.index < index);
    if (this.#versions.length === 0) this.reset(0, EMPTY_MEMBERSHIP);
  }

  /** Replaces the history with the membership of a snapshot. */
  reset(index: number, membership: Membership): void {
    this.#versions = [{ index, membership }];
  }

  /** The membership in effect at an index. */
  at(index: number): Membership {
    return this.#versions.findLast((item) => item.index <= index)?.membership ?? EMPTY_MEMBERSHIP;
  }

  /** Drops the versions before the one in effect at an index. */
  compact(index: number): void {
    const first = this.#versions.findLastIndex((item) => item.index <= index);
    if (first > 0) this.#versions = this.#versions.slice(first);
  }

  /** Finds a member of the latest membership by its incarnation. */
  find(incarnation: Incarnation): Member | undefined {
    return this.latest.members.find((item) => item.incarnation === incarnation);
  }

  get #last(): MembershipVersion {
    return this.#versions.at(-1) as MembershipVersion;
  }
}
